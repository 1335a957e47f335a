#ifndef PAPAYARACK_GATE_INTERNAL_BATCHITEMTRACKER_H_
#define PAPAYARACK_GATE_INTERNAL_BATCHITEMTRACKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gate/answerassembler.h"
#include "gate/gatecore.h"
#include "gate/upstreamclient.h"
#include "jobs/itemline.h"
#include "statemachine/commands.h"

namespace papayarack::gate {

/// Tracks the batch items of a gate: their leases, the text received so far and
/// the outcomes not yet reported to control. Thread safety: none, event loop
/// thread.
class BatchItemTracker {
 public:
  BatchItemTracker(std::string holder, std::uint64_t incarnation,
                   std::string service, std::int64_t lease_ms);

  /// Adds a leased item. If its line cannot be parsed, the item ends as
  /// impossible and false is returned.
  bool Add(WorkId id, const jobs::LeasedItem& item);
  bool Contains(WorkId id) const { return this->items.count(id) > 0; }
  /// The call to the upstream; after a preemption it resumes from the received
  /// text.
  UpstreamCall MakeCall(WorkId id, Duration read_timeout);
  /// The upstream went down, and may come back as another software version:
  /// preempted items begin anew, as what two versions write does not fit.
  void DropTexts();
  void OnHead(WorkId id, int status);
  /// Returns the number of tokens received.
  std::size_t OnBytes(WorkId id, std::string_view bytes);
  /// The run ended. Returns true if the item was preempted and must be started
  /// again; otherwise its outcome is ready to be reported.
  bool OnEnd(WorkId id, UpstreamEnd end, std::string_view reason);
  void MarkPreempted(WorkId id);
  /// Returns an item to control without counting an attempt.
  void Return(WorkId id);
  /// Removes an item whose job was cancelled.
  void Remove(WorkId id);
  std::vector<WorkId> All() const;
  std::optional<WorkId> Find(const jobs::ItemKey& key) const;

  /// The next request to control: reports the outcomes, renews the leases and
  /// asks for `count` new items.
  statemachine::PullItems MakePull(std::uint32_t count) const;
  /// Control has accepted the first `count` outcomes.
  void Reported(std::size_t count);
  std::size_t Unreported() const { return this->outcomes.size(); }
  std::size_t Count() const { return this->items.size(); }
  std::uint64_t tokens_kept() const { return this->kept_tokens; }

 private:
  struct Item {
    jobs::LeasedItem lease;
    jobs::ItemLine line;
    AnswerAssembler answer;
    std::string raw;  ///< Body of an answer that is not an event stream.
    int status = 0;
    bool preempted = false;
    bool text_obsolete = false;  ///< May be of another software version.
  };
  /// Forgets a text that must not be continued.
  static void DropObsoleteText(Item& item);
  void Report(const Item& item, jobs::AttemptEnd end, std::string line,
              std::string reason);
  void ReportAnswer(const Item& item);

  std::string holder;
  std::uint64_t incarnation;
  std::string service;
  std::int64_t lease_ms;
  std::map<WorkId, Item> items;
  std::vector<jobs::ItemOutcome> outcomes;
  std::uint64_t kept_tokens =
      0;  ///< Tokens not generated again after preemptions.
};

}  // namespace papayarack::gate

#endif  // PAPAYARACK_GATE_INTERNAL_BATCHITEMTRACKER_H_
