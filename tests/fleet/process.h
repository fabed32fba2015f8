#pragma once

#include <string>
#include <vector>

#include <sys/types.h>

namespace persimmonfield::testing {

// A child process of a test; the destructor kills it.
class Process {
public:
    // Starts the program; its output is appended to the log file.
    Process(const std::vector<std::string>& command, const std::string& logFile);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    void signal(int number) const;

    // Sends SIGKILL and waits until the process has ended.
    void kill();

    // Waits until the process has ended; returns the exit code, or -1 after a signal.
    int wait();

    // Whether the process has exited or was killed by a signal; does not block.
    bool hasEnded();

    bool isRunning() const { return pid_ > 0; }
    pid_t pid() const { return pid_; }

private:
    pid_t pid_ = -1;
};

// Runs a program until it ends and returns its exit code; its standard output and standard error are stored
// in `output`.
int runProgram(const std::vector<std::string>& command, std::string& output);

}
