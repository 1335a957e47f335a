#include "nodes/callerroom.h"

#include <sys/resource.h>

#include <algorithm>

#include "http/requestmemory.h"

namespace papayarack::nodes {
namespace {

/// Parts of the descriptors and of the memory: one part of the descriptors is
/// for the process itself, one of the memory for callers' requests.
constexpr std::size_t kDescriptorParts = 6;
constexpr std::size_t kMemoryParts = 4;
/// Connections to replicas and peers, and files, of a process at rest.
constexpr std::size_t kMinOwnDescriptors = 128;
constexpr std::size_t kOtherAddresses = 3;
constexpr std::size_t kMaxOtherConnections = 128;
constexpr std::size_t kOtherParts = 16;
/// Where so few are left, serving some callers matters more than the process's
/// own calls.
constexpr std::size_t kMinConnections = 8;

}  // namespace

CallerRoom RoomFor(const VmLimits& limits) {
  const http::HttpServerLimits usual;
  CallerRoom room{usual.max_connections, kMaxOtherConnections,
                  http::RequestMemory::kDefaultMaxBytes};
  if (limits.memory_bytes != 0) {
    room.request_bytes = limits.memory_bytes / kMemoryParts;
  }
  if (limits.descriptors != 0) {
    const std::size_t own =
        std::max(kMinOwnDescriptors, limits.descriptors / kDescriptorParts);
    const std::size_t callers =
        limits.descriptors - std::min(own, limits.descriptors);
    room.other_connections = std::clamp(callers / kOtherParts, kMinConnections,
                                        kMaxOtherConnections);
    const std::size_t others = kOtherAddresses * room.other_connections;
    room.front_connections = std::clamp(callers - std::min(others, callers),
                                        kMinConnections, usual.max_connections);
  }
  return room;
}

VmLimits WithProcessLimits(VmLimits limits) {
  rlimit process{};
  const bool known = getrlimit(RLIMIT_NOFILE, &process) == 0 &&
                     process.rlim_cur != RLIM_INFINITY;
  if (known) {
    const auto allowed = static_cast<std::size_t>(process.rlim_cur);
    limits.descriptors = limits.descriptors == 0
                             ? allowed
                             : std::min(limits.descriptors, allowed);
  }
  return limits;
}

http::HttpServerLimits LimitsForOthers(const CallerRoom& room) {
  http::HttpServerLimits limits;
  limits.max_connections = room.other_connections;
  return limits;
}

}  // namespace papayarack::nodes
