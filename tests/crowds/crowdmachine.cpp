#include "crowds/crowdmachine.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace persimmonfield::testing {
namespace {

    constexpr int firstPort = 25'010;
    constexpr int portsPerMachine = 10;
    constexpr const char* zone = "zone-0";
    constexpr size_t bytesPerKilobyte = 1'024;

}

size_t peakMemory(pid_t pid)
{
    std::ifstream status(fmt::format("/proc/{}/status", pid));
    std::string line;
    const std::string name = "VmHWM:";
    while (std::getline(status, line)) {
        if (line.rfind(name, 0) == 0)
            return std::strtoul(line.c_str() + name.size(), nullptr, 10) * bytesPerKilobyte;
    }
    return 0;
}

size_t openDescriptors(pid_t pid)
{
    std::error_code error;
    size_t count = 0;
    for (std::filesystem::directory_iterator each(fmt::format("/proc/{}/fd", pid), error), end;
         !error && each != end; each.increment(error))
        ++count;
    return count;
}

CrowdMachine::CrowdMachine(asio::io_context& loop, const CrowdMachineOptions& options)
    : options_(options)
{
    setenv("PERSIMMONFIELD_CONFIG", writeSettings().c_str(), 1);
    process_ = std::make_unique<Process>(std::vector<std::string> { options_.program },
        fmt::format("{}/m{}.log", options_.directory, options_.index));
    server_
        = std::make_unique<CrowdServer>(loop, options_.service, zone, address(5), address(1), options_.slots);
}

Address CrowdMachine::address(int offset) const
{
    return { "127.0.0.1", firstPort + options_.index * portsPerMachine + offset };
}

void CrowdMachine::observe()
{
    mostDescriptors_ = std::max(mostDescriptors_, openDescriptors(process_->pid()));
}

std::string CrowdMachine::writeSettings() const
{
    const std::string path = fmt::format("{}/m{}.ini", options_.directory, options_.index);
    std::ofstream file(path);
    file << "[instance]\nname = m" << options_.index << "\nzone = " << zone
         << "\nservice = " << options_.service << "\ncaller-address = " << address(0).text()
         << "\nreport-address = " << address(1).text() << "\nreadiness-address = " << address(2).text()
         << "\nhost = 127.0.0.1\ninternal-ports = " << address(3).port << "," << address(4).port
         << "\nserver-address = " << address(5).text() << "\nstore-address = " << options_.store.text()
         << "\nreport-interval = 300ms\n[machine]\nmemory = " << options_.memoryMb
         << "\ndescriptors = " << options_.descriptors
         << "\n[bounds]\ndrain = 2000ms\ngrace = 6s\nquotaSlack = 20\n";
    return path;
}

}
