#ifndef PAPAYARACK_BATCHES_BATCHMESSAGES_H_
#define PAPAYARACK_BATCHES_BATCHMESSAGES_H_

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "global/messagecodec.h"
#include "global/replicasoftware.h"

/// Messages about batches: many items that are submitted together and run
/// later.
namespace papayarack::batches {

/// One header that is sent to the engine with an item.
struct ItemHeader {
  std::string name;
  std::string value;
  MSGPACK_DEFINE(name, value)
};

/// One item as it was submitted.
struct ItemSpec {
  std::string id;
  std::string path;
  std::vector<ItemHeader> headers;
  std::string body;
  std::uint64_t tokens = 0;  ///< Prompt tokens plus maximum output tokens.
  MSGPACK_DEFINE(id, path, headers, body, tokens)
};

/// Submits a batch, which is accepted as a whole or not at all.
struct SubmitBatch {
  std::string id;
  std::string host;
  std::string route_key;  ///< routes::Route::Key of its route.
  std::vector<ItemSpec> items;
  /// Limit of the organisation on the route; zero means none.
  std::uint64_t max_waiting_tokens = 0;
  std::int64_t now_ms = 0;        ///< Wall clock, stamped by the leader.
  std::string organisation = {};  ///< Empty: submitted anonymously.
  /// Version of the configuration that allowed it; zero: unknown.
  std::uint64_t config_version = 0;
  /// Holds the key that the caller sent, also where the route needs none;
  /// empty: nobody. Tells that a batch which comes again is the caller's own.
  std::string key_holder = {};
  MSGPACK_DEFINE(id, host, route_key, items, max_waiting_tokens, now_ms,
                 organisation, config_version, key_holder)
};

enum class ItemEnd : std::uint8_t { kComplete = 0, kGivenUp = 1, kFailed = 2 };

/// How one attempt at an item ended. A kFailed attempt is counted; the item is
/// given up when `max_attempts` have failed.
struct ItemOutcome {
  std::string batch;
  std::string item;
  std::uint8_t end = 0;
  std::string text;  ///< kComplete: the data of all events, one per line.
  std::uint32_t max_attempts = 1;
  /// Identifies the run; the same in all copies of its report. Zero if sent by
  /// a release that does not set it.
  std::uint64_t run = 0;
  MSGPACK_DEFINE(batch, item, end, text, max_attempts, run)

  ItemEnd End() const { return static_cast<ItemEnd>(this->end); }
};
struct ReportOutcomes {
  std::vector<ItemOutcome> outcomes;
  MSGPACK_DEFINE(outcomes)
};
/// Ends a batch: items without a result will not run.
struct EndBatch {
  std::string id;
  std::string organisation = {};  ///< The caller's.
  MSGPACK_DEFINE(id, organisation)
};
/// Removes batches that were submitted before this time and have no items left
/// to run.
struct ForgetBatches {
  std::int64_t submitted_before_ms = 0;
  MSGPACK_DEFINE(submitted_before_ms)
};

/// One recorded result. Its position in the batch's results never changes.
struct ItemResult {
  std::string id;
  bool complete = false;  ///< False if the item was given up.
  std::string text;
  MSGPACK_DEFINE(id, complete, text)
};
struct ReadResults {
  std::string id;
  std::uint64_t after = 0;
  std::uint32_t wait_ms = 0;
  std::string organisation = {};  ///< The caller's.
  MSGPACK_DEFINE(id, after, wait_ms, organisation)
};
struct ResultPage {
  std::uint64_t total = 0;
  std::uint64_t next = 0;
  std::vector<ItemResult> results;
  MSGPACK_DEFINE(total, next, results)
};
struct ReadItemBody {
  std::string batch;
  std::string item;
  std::string organisation = {};  ///< The caller's.
  MSGPACK_DEFINE(batch, item, organisation)
};

/// Identifies one item.
struct ItemRef {
  std::string batch;
  std::string item;
  MSGPACK_DEFINE(batch, item)
  bool operator==(const ItemRef&) const = default;
  bool operator<(const ItemRef& other) const {
    return std::tie(this->batch, this->item) <
           std::tie(other.batch, other.item);
  }
};
/// Drops the bodies of listed items up to this one (see ListedBodies).
struct DropListedBodies {
  ItemRef last;
  MSGPACK_DEFINE(last)
};
/// Output that a run has produced so far, for the engine that continues it.
struct PartialText {
  std::string text;
  std::uint64_t last_event = 0;
  ReplicaSoftware software = {};  ///< Of the replicas that wrote `text`.
  MSGPACK_DEFINE(text, last_event, software)
};
/// An item that is leased to a gate, which may run it now.
struct LeasedItem {
  std::string batch;
  std::string host;
  std::string route_key;
  ItemSpec spec;
  PartialText partial;
  std::int64_t due_in_ms = 0;     ///< Time left until its result is due.
  std::string organisation = {};  ///< Empty: submitted anonymously.
  /// One run is allowed although a trait of the item is quarantined.
  bool is_trial = false;
  MSGPACK_DEFINE(batch, host, route_key, spec, partial, due_in_ms, organisation,
                 is_trial)
};
/// An item that a gate returns, with the output of its run.
struct ReturnedItem {
  ItemRef item;
  PartialText partial;
  MSGPACK_DEFINE(item, partial)
};
/// A gate's request for items. The leader keeps the call open until it has
/// items, or until an item that the gate holds must stop.
struct PullItems {
  std::string gate;
  std::uint64_t incarnation = 0;
  std::string service;
  std::uint32_t room = 0;
  std::vector<ItemRef> holding;
  std::vector<ReturnedItem> returned;
  /// Time that a whole item takes at the gate now; zero: not known.
  std::uint32_t run_ms = 0;
  MSGPACK_DEFINE(gate, incarnation, service, room, holding, returned, run_ms)
};
struct PulledItems {
  std::vector<LeasedItem> items;
  std::vector<ItemRef> stop;
  MSGPACK_DEFINE(items, stop)
};

}  // namespace papayarack::batches

#endif  // PAPAYARACK_BATCHES_BATCHMESSAGES_H_
