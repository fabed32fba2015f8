#include "fleet/process.h"

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace persimmonfield::testing {
namespace {

    std::vector<char*> argumentsOf(const std::vector<std::string>& command)
    {
        std::vector<char*> arguments;
        for (const std::string& word : command)
            arguments.push_back(const_cast<char*>(word.c_str()));
        arguments.push_back(nullptr);
        return arguments;
    }

}

Process::Process(const std::vector<std::string>& command, const std::string& logFile)
{
    std::vector<char*> arguments = argumentsOf(command);
    pid_ = fork();
    if (pid_ != 0)
        return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    // The child must not inherit the sockets of the test process.
    close_range(STDERR_FILENO + 1, ~0U, 0);
    execv(arguments[0], arguments.data());
    std::_Exit(127);
}

Process::~Process()
{
    kill();
}

void Process::signal(int number) const
{
    if (pid_ > 0)
        ::kill(pid_, number);
}

void Process::kill()
{
    if (pid_ <= 0)
        return;
    signal(SIGKILL);
    wait();
}

bool Process::hasEnded()
{
    if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_)
        pid_ = -1;
    return pid_ <= 0;
}

int Process::wait()
{
    int status = 0;
    waitpid(pid_, &status, 0);
    pid_ = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

int runProgram(const std::vector<std::string>& command, std::string& output)
{
    std::array<int, 2> pipeEnds {};
    if (pipe(pipeEnds.data()) != 0)
        return -1;
    std::vector<char*> arguments = argumentsOf(command);
    const pid_t pid = fork();
    if (pid == 0) {
        dup2(pipeEnds[1], STDOUT_FILENO);
        dup2(pipeEnds[1], STDERR_FILENO);
        close(pipeEnds[0]);
        close(pipeEnds[1]);
        execv(arguments[0], arguments.data());
        std::_Exit(127);
    }
    close(pipeEnds[1]);
    output.clear();
    std::array<char, 4096> buffer {};
    for (ssize_t count = 0; (count = read(pipeEnds[0], buffer.data(), buffer.size())) > 0;)
        output.append(buffer.data(), static_cast<size_t>(count));
    close(pipeEnds[0]);
    int status = 0;
    waitpid(pid, &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

}
