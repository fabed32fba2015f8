#include "base/logger.h"
#include "config/settingsfile.h"
#include "daemon/daemon.h"

#include <absl/strings/ascii.h>
#include <docopt/docopt.h>
#include <fmt/format.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <optional>
#include <string>

namespace {

using namespace persimmonfield;

constexpr const char* usage = R"(The persimmonfield daemon. Run one next to each backend server.

Usage:
  persimmonfieldd --settings=FILE
  persimmonfieldd --check-settings --settings=FILE
  persimmonfieldd --help

Options:
  --settings=FILE   The settings file, in INI format.
  --check-settings  Check the settings and exit.
  --help            Show this help and exit.

Exit codes:
  0  stopped by a signal, or the settings are valid
  1  invalid arguments
  2  invalid settings
  3  an address cannot be listened on
)";

enum ExitCode {
    ExitOk = 0,
    ExitArguments = 1,
    ExitSettings = 2,
    ExitListen = 3,
};

std::optional<std::string> readFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return std::nullopt;
    return std::string(std::istreambuf_iterator<char>(file), {});
}

std::optional<settings::SettingsSchema> loadSettings(const std::string& path)
{
    const auto text = readFile(path);
    if (!text) {
        log(LogLevel::Error, "settings-unreadable", { { "file", path } });
        return std::nullopt;
    }
    const ParsedSettings parsed = parseSettings({ path, *text });
    for (const FileError& error : parsed.errors)
        log(LogLevel::Error, "settings-invalid", { { "cause", error.text() } });
    if (!parsed.errors.empty())
        return std::nullopt;
    return parsed.settings;
}

std::optional<std::string> loadSecret(const std::string& path)
{
    const auto text = readFile(path);
    const std::string secret(
        absl::StripAsciiWhitespace(text.value_or("").substr(0, text.value_or("").find('\n'))));
    if (secret.empty()) {
        log(LogLevel::Error, "peer-secret-unreadable", { { "file", path } });
        return std::nullopt;
    }
    return secret;
}

LogLevel logLevelOf(settings::LogLevel level)
{
    switch (level) {
    case settings::LogLevel::Debug:
        return LogLevel::Debug;
    case settings::LogLevel::Info:
        return LogLevel::Info;
    case settings::LogLevel::Warning:
        return LogLevel::Warning;
    case settings::LogLevel::Error:
        return LogLevel::Error;
    }
    return LogLevel::Info;
}

// Blocks the signals that stop the daemon. Threads started later inherit the mask, so only the main thread
// receives these signals, in sigwait().
sigset_t blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

int run(const settings::SettingsSchema& settings, const std::string& secret)
{
    setLogInstance(settings.name);
    setLogLevel(logLevelOf(settings.logLevel));
    const sigset_t signals = blockSignals();
    auto daemon = Daemon::Builder().setSettings(settings).setPeerSecret(secret).build();
    if (!daemon.ok()) {
        log(LogLevel::Error, "settings-invalid", { { "cause", std::string(daemon.status().message()) } });
        return ExitSettings;
    }
    if (const absl::Status started = (*daemon)->start(); !started.ok()) {
        log(LogLevel::Error, "start-failed", { { "cause", std::string(started.message()) } });
        std::_Exit(ExitListen);
    }
    int signal = 0;
    sigwait(&signals, &signal);
    log(LogLevel::Info, "stopping", { { "signal", signal } });
    (*daemon)->stop();
    return ExitOk;
}

}

int main(int argc, char** argv)
{
    std::map<std::string, docopt::value> arguments;
    try {
        arguments = docopt::docopt_parse(usage, { argv + 1, argv + argc }, true, false);
    } catch (const docopt::DocoptExitHelp&) {
        fmt::print("{}", usage);
        return ExitOk;
    } catch (const std::exception&) {
        fmt::print(stderr, "{}", usage);
        return ExitArguments;
    }
    const auto settings = loadSettings(arguments["--settings"].asString());
    if (!settings)
        return ExitSettings;
    const auto secret = loadSecret(settings->peerSecretFile);
    if (!secret)
        return ExitSettings;
    return arguments["--check-settings"].asBool() ? ExitOk : run(*settings, *secret);
}
