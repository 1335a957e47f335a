#include "operators/internal/entryclient.h"

#include <httplib.h>

#include <cstdlib>
#include <iostream>

#include "global/resultcode.h"
#include "global/settings.h"

namespace papayarack::operators {
namespace {

constexpr std::chrono::seconds kTimeout{20};

httplib::Client MakeClient(const std::string& address,
                           const std::string& team) {
  const Endpoint endpoint = ParseEndpoint(address, "--entry");
  httplib::Client client(endpoint.host, endpoint.port);
  client.set_read_timeout(kTimeout);
  if (!team.empty()) {
    client.set_default_headers({{"X-Papayarack-Team", team}});
  }
  return client;
}

EntryAnswer Read(const httplib::Result& result, const std::string& address) {
  if (!result) {
    throw ResultError(ResultCode::kNoUpstream,
                      address + ": " + httplib::to_string(result.error()));
  }
  return {result->status, nlohmann::json::parse(result->body, nullptr, false)};
}

}  // namespace

EntryClient::EntryClient(const cli::Arguments& arguments)
    : team(arguments.Get("team")) {
  const char* environment = std::getenv("PAPAYARACK_ENTRY");
  this->address = arguments.Get(
      "entry", environment != nullptr ? environment : "127.0.0.1:8080");
}

EntryAnswer EntryClient::Get(const std::string& path) const {
  return Read(MakeClient(this->address, this->team).Get(path), this->address);
}

EntryAnswer EntryClient::Put(const std::string& path,
                             const std::string& body) const {
  return Read(
      MakeClient(this->address, this->team).Put(path, body, "application/json"),
      this->address);
}

EntryAnswer EntryClient::Post(const std::string& path,
                              const std::string& body) const {
  return Read(MakeClient(this->address, this->team)
                  .Post(path, body, "application/json"),
              this->address);
}

cli::ExitCode PrintError(const EntryAnswer& answer) {
  if (!answer.body.is_object() || !answer.body.contains("error")) {
    std::cerr << "papayarack: unexpected response, status " << answer.status
              << "\n";
    return cli::ExitCode::kRefused;
  }
  const nlohmann::json& error = answer.body["error"];
  const auto code = static_cast<ResultCode>(error.value("number", 900));
  std::cerr << "papayarack: " << error.value("message", "") << "\n  code "
            << error.value("number", 0) << " " << error.value("code", "")
            << ": " << Describe(code).advice << "\n";
  if (answer.body.contains("difference")) {
    std::cerr << "  in force: " << answer.body["in_force"].dump() << "\n";
    for (const nlohmann::json& line : answer.body["difference"]) {
      std::cerr << "  submitted document would: " << line.get<std::string>()
                << "\n";
    }
  }
  if (code == ResultCode::kConflict) {
    return cli::ExitCode::kConflict;
  }
  return code == ResultCode::kBadInput ? cli::ExitCode::kBadInput
                                       : cli::ExitCode::kRefused;
}

}  // namespace papayarack::operators
