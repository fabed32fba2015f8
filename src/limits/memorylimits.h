#pragma once

#include "limits/bytebudget.h"

#include <cstddef>

namespace persimmonfield {

// What a process may hold on a machine of a given size.
struct MemoryLimits {
    ByteBudgetOptions bytes; // Requests and answers.
    size_t answerBytes = 0; // Answers that are being received from the server.
    size_t linkBytes = 0; // Frames that wait on the links to other instances.
    size_t callerConnections = 0;
    size_t otherConnections = 0; // Of each of the other listeners.
};

// Divides the machine's memory, in MB, and the descriptors that the process may open.
MemoryLimits memoryLimitsFor(double memoryMb, int descriptors);

}
