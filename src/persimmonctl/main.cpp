#include "persimmonctl/configcommands.h"
#include "persimmonctl/fleetcommands.h"

#include <absl/strings/numbers.h>
#include <docopt/docopt.h>
#include <fmt/format.h>

#include <cstdlib>
#include <map>
#include <string>

namespace {

using namespace persimmonfield;
using Arguments = std::map<std::string, docopt::value>;

constexpr const char* usage = R"(Command-line tool for operators of persimmonfield.

Usage:
  persimmonctl [--platform=URL] check DIR [--strict] [--json]
  persimmonctl [--platform=URL] apply DIR [--expect=VERSION] [--wait] [--json]
  persimmonctl [--platform=URL] show [--into=DIR] [--json]
  persimmonctl [--platform=URL] history [--json]
  persimmonctl [--platform=URL] status [--json]
  persimmonctl [--platform=URL] timeline [--instance=NAME] [--kind=KIND] [--json]
  persimmonctl [--platform=URL] key NAME TEAM [--json]
  persimmonctl --help

Options:
  --platform=URL    URL of the platform's object API; defaults to PERSIMMONFIELD_PLATFORM.
  --expect=VERSION  Version to replace; defaults to the one last applied from or shown into DIR.
  --strict          Exit with 7 if a valid configuration has entries without effect or limits that contradict
                    each other.
  --wait            Wait until the change is in force on every instance, for 30 s at most.
  --into=DIR        Write the files in force to a directory instead of printing them.
  --instance=NAME   Print only events of this instance.
  --kind=KIND       Print only events of this kind.
  --json            Print JSON.
  --help            Show this text.

Exit codes:
  0  success
  1  invalid arguments
  2  the files do not form a valid configuration; each error contains file, line and cause
  3  another version is in force than was expected; nothing was changed
  4  the platform's store was unreachable or refused the call; nothing was changed
  5  the outcome of the change could not be determined: see 'show'
  6  accepted, but not in force on the listed instances after 30 s
  7  valid, but a strict check has findings
)";

std::string optional(const Arguments& arguments, const char* name)
{
    const docopt::value& value = arguments.at(name);
    return value.isString() ? value.asString() : std::string();
}

std::string platformOf(const Arguments& arguments)
{
    const std::string given = optional(arguments, "--platform");
    const char* fromEnvironment = std::getenv("PERSIMMONFIELD_PLATFORM");
    return given.empty() && fromEnvironment ? fromEnvironment : given;
}

bool needsPlatform(const Arguments& arguments)
{
    return !arguments.at("check").asBool() && !arguments.at("key").asBool();
}

ExitCode runConfigCommand(const Arguments& arguments)
{
    ConfigCommandOptions options;
    options.platformUrl = platformOf(arguments);
    options.asJson = arguments.at("--json").asBool();
    options.isStrict = arguments.at("--strict").asBool();
    options.shouldWait = arguments.at("--wait").asBool();
    const bool isShow = arguments.at("show").asBool();
    options.directory = optional(arguments, isShow ? "--into" : "DIR");
    const std::string expected = optional(arguments, "--expect");
    int64_t version = 0;
    if (!expected.empty() && !absl::SimpleAtoi(expected, &version)) {
        fmt::print(stderr, "persimmonctl: --expect must be a version number, not '{}'\n", expected);
        return ExitCode::Arguments;
    }
    if (!expected.empty())
        options.expectedVersion = version;
    if (arguments.at("check").asBool())
        return checkCommand(options);
    if (arguments.at("apply").asBool())
        return applyCommand(options);
    return isShow ? showCommand(options) : historyCommand(options);
}

ExitCode runCommand(const Arguments& arguments)
{
    if (needsPlatform(arguments) && platformOf(arguments).empty()) {
        fmt::print(stderr, "persimmonctl: --platform or PERSIMMONFIELD_PLATFORM is required\n");
        return ExitCode::Arguments;
    }
    FleetCommandOptions options;
    options.platformUrl = platformOf(arguments);
    options.asJson = arguments.at("--json").asBool();
    options.instanceFilter = optional(arguments, "--instance");
    options.kindFilter = optional(arguments, "--kind");
    if (arguments.at("status").asBool())
        return statusCommand(options);
    if (arguments.at("timeline").asBool())
        return timelineCommand(options);
    if (arguments.at("key").asBool())
        return keyCommand(arguments.at("NAME").asString(), arguments.at("TEAM").asString(), options.asJson);
    return runConfigCommand(arguments);
}

}

int main(int argc, char** argv)
{
    try {
        const Arguments arguments = docopt::docopt_parse(usage, { argv + 1, argv + argc }, true, false);
        return static_cast<int>(runCommand(arguments));
    } catch (const docopt::DocoptExitHelp&) {
        fmt::print("{}", usage);
        return static_cast<int>(ExitCode::Ok);
    } catch (const std::exception&) {
        fmt::print(stderr, "{}", usage);
        return static_cast<int>(ExitCode::Arguments);
    }
}
