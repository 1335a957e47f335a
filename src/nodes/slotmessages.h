#ifndef PAPAYARACK_NODES_SLOTMESSAGES_H_
#define PAPAYARACK_NODES_SLOTMESSAGES_H_

#include <cstdint>
#include <string>

#include "global/messagecodec.h"

/// Messages between an entry and the process that owns an engine's slots. The
/// stream of a request stays open while the slot is wanted or used. The slot is
/// released when the stream ends for any reason, so no slot is lost with an
/// entry or a connection.
namespace papayarack::nodes {

struct AcquireSlot {
  std::string request;  ///< Request id, for the log.
  std::string engine_id;
  std::int32_t priority = 0;
  std::uint32_t wait_ms = 0;  ///< Maximum useful wait from now.
  /// One process may own several engines; earlier versions leave it empty.
  std::string engine_address;
  /// Shares the slots with others of its priority; empty: the caller has none,
  /// or the entry is of an earlier release.
  std::string organisation = {};
  /// Refuse with kWouldPreempt rather than preempt a batch item: the entry asks
  /// elsewhere first. Earlier versions preempt.
  bool spares_items = false;
  MSGPACK_DEFINE(request, engine_id, priority, wait_ms, engine_address,
                 organisation, spares_items)
};

enum class SlotVerdict : std::uint8_t {
  kGranted = 0,
  kBusy = 1,
  kClosed = 2,
  kNotOwner = 3,  ///< Earlier versions treat it as kClosed.
  /// Only batch items hold slots that the request could get, and it spares
  /// them.
  kWouldPreempt = 4,
};

struct SlotReply {
  std::uint8_t verdict = 0;
  std::uint32_t online = 0;
  std::uint32_t waiting = 0;
  std::uint32_t batch = 0;
  std::uint32_t slots = 0;
  std::uint32_t expected_wait_ms = 0;
  /// As in coordination::EngineInstance; a gate knows it before the list does.
  std::uint64_t engine_started_ms = 0;
  /// Service of whichever replica starts at the engine's address within
  /// `service_holds_ms`; empty: not known.
  std::string service = {};
  /// How long a stream holds a slot there on average; zero: not known.
  std::uint32_t hold_ms = 0;
  /// Since the end of the last stream that `hold_ms` covers.
  std::uint32_t hold_age_ms = 0;
  /// As in EngineLoad.
  std::uint32_t pace = 0;
  /// How long from now on `service` holds; zero in earlier releases.
  std::uint32_t service_holds_ms = 0;
  MSGPACK_DEFINE(verdict, online, waiting, batch, slots, expected_wait_ms,
                 engine_started_ms, service, hold_ms, hold_age_ms, pace,
                 service_holds_ms)

  SlotVerdict Verdict() const {
    return static_cast<SlotVerdict>(this->verdict);
  }
};

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_SLOTMESSAGES_H_
