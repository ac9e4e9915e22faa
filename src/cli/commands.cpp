#include "cli/commands.h"

#include "base/text_file.h"
#include "cli/fleet_explain.h"
#include "cli/log_explain.h"
#include "configuration/document.h"
#include "configuration/vm_list.h"
#include "http/client.h"
#include "journal/journal.h"
#include "serving/entry_process.h"
#include "settings/routing_settings.h"
#include "settings/settings.h"

#include <cxxopts.hpp>

#include <unistd.h>

#include <csignal>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <string>
#include <vector>

namespace azurespindle::cli {
namespace {

constexpr const char *version = "0.1.0";
constexpr milliseconds queryTimeout {5'000};
constexpr int httpStatusOk = 200;

constexpr const char *usage = R"(Usage: azurespindle COMMAND [OPTIONS]

Commands:
  serve SETTINGS          run an entry process until SIGTERM, then stop gracefully
  check FILE...           check settings, configurations and VM lists
  status                  show members, upstreams and ramps known to a running process
  explain ID              show decisions on a request, upstream, zone or member, with reasons
  configuration           show effective values of a workspace, upstream or zone, with sources

Options:
  --address IP:PORT       caller address of the process to query [127.0.0.1:8080]
  --workspace NAME        with configuration
  --upstream NAME         with configuration
  --zone NAME             with configuration
  --fleet                 with explain: query every live member and merge the events by time
  --logs FILE             with explain: read this log file (repeatable; - reads standard input)
  --verbose               with serve: log debug events too
  --help, --version

Examples:
  azurespindle check samples/1-first-steps/configuration.json
  azurespindle serve samples/1-first-steps/settings.json
  azurespindle status --address 127.0.0.1:8080
  azurespindle explain e3 --address 127.0.0.1:8080
  azurespindle explain e3 --fleet
  azurespindle explain 9c41d07be2a35f68 --logs entry-1.log --logs entry-2.log
  azurespindle configuration --workspace acme

Exit codes: 0 success, 1 fault found, 2 invalid usage, 3 no response, 4 start failed.
)";

int usageError(const std::string &message)
{
    std::cerr << "azurespindle: " << message << "\nTry 'azurespindle --help'.\n";
    return ExitUsage;
}

void blockSignals(sigset_t &signals)
{
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void waitForStopSignal(const sigset_t &signals, const std::function<void()> &onReload)
{
    int received = 0;
    do {
        sigwait(&signals, &received);
        if (received == SIGHUP) {
            onReload();
        }
    } while (received == SIGHUP);
}

int serveEntryProcess(const std::string &file, bool verbose)
{
    auto loaded = settings::loadSettings(file);
    if (!loaded.ok()) {
        std::cerr << "azurespindle: " << loaded.error().message() << "\n";
        return ExitFault;
    }
    const settings::Settings settings = loaded.takeValue();
    const auto minimumSeverity = verbose ? journal::Severity::Debug : journal::Severity::Info;
    journal::openLog(settings.logFormat, settings.logFile, settings.name, minimumSeverity);
    sigset_t signals;
    blockSignals(signals);
    serving::EntryProcess process(settings);
    if (const std::error_code error = process.start()) {
        std::cerr << "azurespindle: " << error.message() << ": " << settings.callerAddress.text()
                  << " or " << settings.memberAddress.text() << "\n";
        return ExitStartFailed;
    }
    // The settings of this kind of process cannot be reloaded, so SIGHUP is ignored.
    waitForStopSignal(signals, [] {});
    return process.stopGracefully() == 0 ? ExitOk : ExitFault;
}

void reloadSettings(serving::RoutingProcess &process, const std::string &file)
{
    const auto loaded = settings::loadRoutingSettings(file);
    if (loaded.ok()) {
        process.reload(loaded.value());
        return;
    }
    std::cerr << "azurespindle: reload failed, keeping the previous settings: "
              << loaded.error().message() << "\n";
}

int serveRoutingProcess(const std::string &file, bool verbose,
                        const serving::PlatformAdapterFactory &makePlatformAdapter)
{
    auto loaded = settings::loadRoutingSettings(file);
    if (!loaded.ok()) {
        std::cerr << "azurespindle: " << loaded.error().message() << "\n";
        return ExitFault;
    }
    const settings::RoutingSettings settings = loaded.takeValue();
    const auto minimumSeverity = verbose ? journal::Severity::Debug : journal::Severity::Info;
    sigset_t signals;
    blockSignals(signals);
    journal::openBoundedLog(settings.logFormat, settings.name, minimumSeverity);
    serving::RoutingProcess process(settings, makePlatformAdapter);
    if (const std::error_code error = process.start()) {
        std::cerr << "azurespindle: " << error.message() << ": one of the addresses of " << file
                  << "\n";
        return ExitStartFailed;
    }
    waitForStopSignal(signals, [&] { reloadSettings(process, file); });
    const std::size_t abortedRequests = process.stopGracefully();
    journal::closeBoundedLog();
    // Skips destructors and exit handlers, because the log thread may be blocked on a reader that
    // never resumes reading.
    _exit(abortedRequests == 0 ? ExitOk : ExitFault);
}

bool isRoutingSettingsFile(const std::string &file)
{
    const auto text = readTextFile(file);
    json::Faults faults;
    const auto document = text.ok() ? json::parseText(text.value(), faults) : std::nullopt;
    return document && settings::isRoutingSettings(*document);
}

int serve(const std::vector<std::string> &files, bool verbose,
          const serving::PlatformAdapterFactory &makePlatformAdapter)
{
    if (files.size() != 1) {
        return usageError("serve takes one settings file");
    }
    const std::string &file = files.front();
    return isRoutingSettingsFile(file) ? serveRoutingProcess(file, verbose, makePlatformAdapter)
                                       : serveEntryProcess(file, verbose);
}

/// Detects the kind of a document by its fields and validates it as that kind.
/// \param kind receives the kind for display.
json::Faults checkDocument(const nlohmann::json &document, std::string &kind)
{
    json::Faults faults;
    if (document.is_object() && document.contains("vms")) {
        kind = "VM list";
        configuration::parseVmList(document, faults);
    } else if (settings::isRoutingSettings(document)) {
        kind = "routing settings";
        settings::parseRoutingSettings(document, faults);
    } else if (document.is_object() && document.contains("callerAddress")) {
        kind = "settings";
        settings::parseSettings(document, faults);
    } else {
        kind = "configuration";
        configuration::parseDocument(document, faults);
    }
    return faults;
}

bool checkFile(const std::string &file)
{
    const auto text = readTextFile(file);
    if (!text.ok()) {
        std::cerr << text.error().message() << "\n";
        return false;
    }
    json::Faults faults;
    std::string kind = "document";
    const auto document = json::parseText(text.value(), faults);
    if (document) {
        faults = checkDocument(*document, kind);
    }
    if (faults.empty()) {
        std::cout << file << ": good " << kind << "\n";
        return true;
    }
    std::cout << file << ": " << faults.size() << " fault" << (faults.size() == 1 ? "" : "s")
              << " in this " << kind << json::listFaults(faults) << "\n";
    return false;
}

int check(const std::vector<std::string> &files)
{
    if (files.empty()) {
        return usageError("check takes at least one file");
    }
    bool allValid = true;
    for (const std::string &file : files) {
        allValid = checkFile(file) && allValid;
    }
    return allValid ? ExitOk : ExitFault;
}

int query(const std::string &address, const std::string &path)
{
    const auto parsed = settings::parseAddress(address);
    if (!parsed.ok()) {
        return usageError("--address: " + parsed.error().message());
    }
    http::ClientRequest request;
    request.url = "http://" + address + path;
    request.totalTimeout = queryTimeout;
    std::string body;
    const http::TransferResult result = http::fetch(request, body);
    if (result.end != http::TransferEnd::Complete) {
        std::cerr << "azurespindle: no answer from " << address << ": " << result.detail << "\n";
        return ExitUnreachable;
    }
    std::cout << body;
    return result.status == httpStatusOk ? ExitOk : ExitFault;
}

int explainFromFleet(const std::string &address, const std::string &id)
{
    const std::vector<MemberExplanation> members = explainFromMembers(address, id);
    if (members.empty()) {
        std::cerr << "azurespindle: no answer from " << address << "\n";
        return ExitUnreachable;
    }
    std::cout << mergeExplanations(members);
    return ExitOk;
}

int explainFromLogFiles(const std::vector<std::string> &files, const std::string &id)
{
    std::vector<LogLine> lines;
    for (const std::string &file : files) {
        std::ifstream stream;
        if (file != "-") {
            stream.open(file);
        }
        if (file != "-" && !stream) {
            std::cerr << "azurespindle: cannot read " << file << "\n";
            return ExitFault;
        }
        for (LogLine &line : readLog(file == "-" ? std::cin : stream)) {
            line.position = lines.size();
            lines.push_back(std::move(line));
        }
    }
    std::cout << explainFromLogs(lines, id);
    return ExitOk;
}

int explain(const std::string &address, const std::vector<std::string> &arguments, bool fleet)
{
    if (arguments.size() != 1) {
        return usageError("explain takes one ID");
    }
    return fleet ? explainFromFleet(address, arguments.front())
                 : query(address, "/explain?id=" + arguments.front());
}

int queryConfiguration(const std::string &address, const cxxopts::ParseResult &options)
{
    std::string path = "/configuration";
    for (const char *subject : {"workspace", "upstream", "zone"}) {
        if (options.count(subject) > 0) {
            path += std::string("?") + subject + "=" + options[subject].as<std::string>();
            break;
        }
    }
    return query(address, path);
}

int dispatch(const cxxopts::ParseResult &options,
             const serving::PlatformAdapterFactory &makePlatformAdapter)
{
    if (options.count("help") > 0) {
        std::cout << usage;
        return ExitOk;
    }
    if (options.count("version") > 0) {
        std::cout << "azurespindle " << version << "\n";
        return ExitOk;
    }
    if (options.count("command") == 0) {
        return usageError("a command is missing");
    }
    const auto command = options["command"].as<std::string>();
    const auto arguments = options.count("arguments") > 0
        ? options["arguments"].as<std::vector<std::string>>()
        : std::vector<std::string>();
    const auto address = options["address"].as<std::string>();
    if (command == "serve") {
        return serve(arguments, options.count("verbose") > 0, makePlatformAdapter);
    }
    if (command == "check") {
        return check(arguments);
    }
    if (command == "explain" && options.count("logs") > 0) {
        return arguments.size() == 1
            ? explainFromLogFiles(options["logs"].as<std::vector<std::string>>(), arguments.front())
            : usageError("explain takes one ID");
    }
    if (command == "explain") {
        return explain(address, arguments, options.count("fleet") > 0);
    }
    if (!arguments.empty()) {
        return usageError(command + " takes no \"" + arguments.front() + "\"");
    }
    if (command == "status") {
        return query(address, "/status");
    }
    if (command == "configuration") {
        return queryConfiguration(address, options);
    }
    return usageError("there is no command \"" + command + "\"");
}

} // namespace

int run(int count, char **values, const serving::PlatformAdapterFactory &makePlatformAdapter)
{
    cxxopts::Options options("azurespindle");
    auto addOption = options.add_options();
    addOption("command", "", cxxopts::value<std::string>());
    addOption("arguments", "", cxxopts::value<std::vector<std::string>>());
    addOption("address", "", cxxopts::value<std::string>()->default_value("127.0.0.1:8080"));
    addOption("workspace", "", cxxopts::value<std::string>());
    addOption("upstream", "", cxxopts::value<std::string>());
    addOption("zone", "", cxxopts::value<std::string>());
    addOption("fleet", "");
    addOption("logs", "", cxxopts::value<std::vector<std::string>>());
    addOption("verbose", "");
    addOption("help", "");
    addOption("version", "");
    options.parse_positional({"command", "arguments"});
    try {
        return dispatch(options.parse(count, values), makePlatformAdapter);
    } catch (const cxxopts::exceptions::exception &error) {
        return usageError(error.what());
    }
}

} // namespace azurespindle::cli
