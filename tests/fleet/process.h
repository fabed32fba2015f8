#pragma once

#include <string>
#include <vector>

#include <sys/types.h>

namespace persimmonfield::testing {

// A child process of a test, ended with the object.
class Process {
public:
    // Starts the program; its standard error goes to the log file.
    Process(const std::vector<std::string>& command, const std::string& logFile);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    void signal(int number) const;

    // Sends SIGKILL and waits for the end.
    void kill();

    // Waits for the end; answers the exit code, or -1 after a signal.
    int wait();

    // Whether the process has ended, by itself or by a signal; does not wait for it.
    bool hasEnded();

    bool isRunning() const { return pid_ > 0; }
    pid_t pid() const { return pid_; }

private:
    pid_t pid_ = -1;
};

// Runs a program to its end and answers its exit code; its standard output is put into `output`.
int runProgram(const std::vector<std::string>& command, std::string& output);

}
