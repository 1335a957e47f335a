#include <asio.hpp>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <vector>

#include "fleet/standinengine.h"
#include "global/jsonschema.h"
#include "global/resultcode.h"

/// Runs stand-in engines and their replica list in one process until killed.
/// Usage: standin_fleet FILE, where FILE is
/// {"list":"host:port","engines":[{"id":"","service":"","address":"host:port",
/// "slots":8,"events":20,"event_ms":5,"version":"v1","large_bytes":0,
/// "listen":"host:port"}]}. An engine listens at its address unless it has
/// another one in "listen".
namespace papayarack::standins {
namespace {

int Run(const std::string& path) {
  const nlohmann::json settings = ParseJson(ReadWholeFile(path), path);
  asio::io_context context;
  std::vector<std::unique_ptr<StandInEngine>> engines;
  std::vector<coordination::EngineInstance> listed;
  for (const nlohmann::json& entry : settings.at("engines")) {
    StandInEngineOptions options;
    options.id = entry.at("id").get<std::string>();
    const std::string address = entry.at("address").get<std::string>();
    options.listen = ParseEndpoint(entry.value("listen", address), "listen");
    options.slots = entry.at("slots").get<std::uint32_t>();
    options.events = entry.at("events").get<std::uint64_t>();
    options.event_time =
        std::chrono::milliseconds(entry.at("event_ms").get<int>());
    options.version = entry.value("version", options.version);
    options.large_bytes = entry.value("large_bytes", options.large_bytes);
    listed.push_back({options.id, entry.at("service").get<std::string>(),
                      address, "a", options.slots, false, 0, options.version});
    engines.push_back(
        std::make_unique<StandInEngine>(context, std::move(options)));
  }
  const StandInList list(
      context, ParseEndpoint(settings.at("list").get<std::string>(), "list"),
      listed);
  context.run();
  return 0;
}

}  // namespace
}  // namespace papayarack::standins

int main(int argc, const char** argv) {
  constexpr int kUsage = 2;
  if (argc != 2) {
    std::cerr << "usage: standin_fleet FILE\n";
    return kUsage;
  }
  try {
    return papayarack::standins::Run(argv[1]);
  } catch (const std::exception& error) {
    std::cerr << "standin_fleet: " << error.what() << "\n";
    return 1;
  }
}
