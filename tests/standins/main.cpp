// azurespindle-standin: the outside systems that tests, demo and bench talk to.

#include "base/text_file.h"
#include "standins/engine_server.h"
#include "standins/platform_server.h"
#include "standins/service_server.h"

#include <cxxopts.hpp>

#include <csignal>
#include <iostream>
#include <memory>
#include <vector>

namespace {

using namespace azurespindle;

void waitForSignal()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    int received = 0;
    sigwait(&signals, &received);
}

void blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

template<typename Server> int serve(Server &server, const std::string &kind)
{
    const std::error_code error = server.start();
    if (error) {
        std::cerr << kind << ": " << error.message() << "\n";
        return 1;
    }
    std::cout << kind << " listens on port " << server.port() << std::endl;
    waitForSignal();
    return 0;
}

int serveEngine(const settings::Address &address, const cxxopts::ParseResult &options)
{
    standins::EngineOptions engine;
    engine.memoryTokens = options["memory-tokens"].as<std::uint32_t>();
    engine.maxBatch = options["max-batch"].as<std::uint32_t>();
    engine.baseStep = microseconds(options["base-step-us"].as<std::int64_t>());
    engine.stepPerGeneration = microseconds(options["generation-step-us"].as<std::int64_t>());
    engine.startsWarm = options["warm"].as<bool>();
    engine.seed = options["seed"].as<std::uint64_t>();
    standins::EngineFaults faults;
    faults.honoursFencing = !options["ignores-fencing"].as<bool>();
    const auto count = options["count"].as<std::uint16_t>();
    std::vector<std::unique_ptr<standins::EngineServer>> further;
    for (std::uint16_t index = 1; index < count; ++index) {
        const settings::Address next {address.host,
                                      static_cast<std::uint16_t>(address.port + index)};
        engine.seed += 1;
        further.push_back(
            std::make_unique<standins::EngineServer>(next, engine, faults, next.text()));
        if (further.back()->start()) {
            return 1;
        }
    }
    engine.seed += 1;
    standins::EngineServer server(address, engine, faults, address.text());
    return serve(server, "engine");
}

int servePlatform(const settings::Address &address, const cxxopts::ParseResult &options)
{
    standins::PlatformServer server(address);
    for (const std::string path : {"configuration", "vms"}) {
        if (options.count(path) > 0) {
            const auto text = readTextFile(options[path].as<std::string>());
            if (!text.ok()) {
                std::cerr << text.error().message() << "\n";
                return 1;
            }
            server.publish("/" + path, text.value());
        }
    }
    return serve(server, "platform");
}

} // namespace

int main(int count, char **values)
{
    cxxopts::Options options("azurespindle-standin", "Stand-ins for the outside systems");
    auto add = options.add_options();
    add("kind", "engine, service or platform", cxxopts::value<std::string>());
    add("listen", "IP:PORT", cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
    add("memory-tokens", "KV memory", cxxopts::value<std::uint32_t>()->default_value("40000"));
    add("max-batch", "batch size", cxxopts::value<std::uint32_t>()->default_value("48"));
    add("base-step-us", "time of a step", cxxopts::value<std::int64_t>()->default_value("14000"));
    add("generation-step-us", "time of a step for each generation",
        cxxopts::value<std::int64_t>()->default_value("300"));
    add("seed", "seed", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("count", "engines on so many ports from the first one on",
        cxxopts::value<std::uint16_t>()->default_value("1"));
    add("warm", "start warm", cxxopts::value<bool>()->default_value("false"));
    add("ignores-fencing", "take old orders", cxxopts::value<bool>()->default_value("false"));
    add("configuration", "file to publish", cxxopts::value<std::string>());
    add("vms", "file to publish", cxxopts::value<std::string>());
    options.parse_positional({"kind"});
    blockSignals();
    try {
        const auto parsed = options.parse(count, values);
        const auto address = settings::parseAddress(parsed["listen"].as<std::string>());
        const std::string kind = parsed.count("kind") > 0 ? parsed["kind"].as<std::string>() : "";
        if (!address.ok()) {
            std::cerr << address.error().message() << "\n";
            return 1;
        }
        if (kind == "engine") {
            return serveEngine(address.value(), parsed);
        }
        if (kind == "service") {
            standins::ServiceServer server(address.value());
            return serve(server, "service");
        }
        if (kind == "platform") {
            return servePlatform(address.value(), parsed);
        }
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << error.what() << "\n";
        return 1;
    }
    std::cerr << options.help() << "\n";
    return 1;
}
