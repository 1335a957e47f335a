#ifndef PAPAYARACK_GLOBAL_SETTINGS_H_
#define PAPAYARACK_GLOBAL_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "global/logging.h"

namespace papayarack {

/// An IP address and port.
struct Endpoint {
  std::string host;
  std::uint16_t port = 0;

  std::string ToString() const {
    return this->host + ":" + std::to_string(this->port);
  }
};

/// Parses "host:port". Throws ResultError(kBadInput) naming `field`.
Endpoint ParseEndpoint(std::string_view text, std::string_view field);

/// One control member in the settings.
struct ControlMemberSettings {
  std::uint64_t id = 0;
  std::string address;  ///< host:port of its peer listener.
};

/// The upstream behind one gate.
struct UpstreamSettings {
  std::string service;
  std::string kind = "engine";  ///< "engine" or "plain".
  std::string address;
  std::string gate_listen;  ///< Peer listener of its gate.
  bool checks_fencing = true;
};

/// The settings of one process.
struct Settings {
  std::string role;
  std::string name;
  std::string zone;
  std::string
      peer_listen;  ///< side and control: the listener for other processes.
  std::string http_listen;      ///< entry: HTTP for callers.
  std::string operator_listen;  ///< every role: HTTP for operators.
  std::string data_folder;      ///< control: its files.
  std::string platform_list;    ///< Path of the platform's VM list, empty when
                                ///< there is none.
  std::vector<ControlMemberSettings> control;
  std::vector<UpstreamSettings> upstreams;
  std::chrono::milliseconds heartbeat{500};
  std::chrono::milliseconds election{600};
  std::chrono::milliseconds lease{8000};
  std::chrono::milliseconds shutdown_grace{30000};
  std::chrono::milliseconds drain{
      1000};  ///< entry: how long it still serves while reporting unhealthy, so
              ///< that the load balancer notices.
  std::size_t max_body_bytes = 64U << 20U;
  std::size_t max_line_bytes = 1U << 20U;
  std::size_t max_job_items = 63000;
  std::size_t http_threads = 512;
  LogSettings log;
};

/// The JSON schema of a settings file.
const nlohmann::json& SettingsSchema();

/// Validates and reads settings. Throws ResultError(kBadInput) that lists every
/// schema error with its JSON pointer.
Settings ParseSettings(const nlohmann::json& document);

}  // namespace papayarack

#endif  // PAPAYARACK_GLOBAL_SETTINGS_H_
