#ifndef PAPAYARACK_GATE_INTERNAL_BATCHDESK_H_
#define PAPAYARACK_GATE_INTERNAL_BATCHDESK_H_

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

/// The batch items that a gate holds: their leases, the text received so far,
/// the outcomes that control does not know yet. Thread safety: none, the
/// deciding thread.
class BatchDesk {
 public:
  BatchDesk(std::string holder, std::uint64_t incarnation, std::string service,
            std::int64_t lease_ms);

  /// Takes a granted item. An item whose line cannot be read ends as impossible
  /// at once. Returns false then.
  bool Add(WorkId id, const jobs::LeasedItem& item);
  bool Holds(WorkId id) const { return this->items.count(id) > 0; }
  /// The call to the upstream; after a preemption it continues behind the text
  /// received.
  UpstreamCall MakeCall(WorkId id, Duration silence) const;
  void OnHead(WorkId id, int status);
  /// Returns the number of tokens that came.
  std::size_t OnBytes(WorkId id, std::string_view bytes);
  /// The run ended. Returns true when the item stays and is to be started again
  /// (it was preempted); otherwise its outcome is ready to be reported.
  bool OnEnd(WorkId id, UpstreamEnd end, std::string_view reason);
  void MarkPreempted(WorkId id);
  /// Gives an item back without counting an attempt.
  void GiveBack(WorkId id);
  /// Forgets an item whose job was cancelled.
  void Forget(WorkId id);
  std::vector<WorkId> All() const;
  std::optional<WorkId> Find(const jobs::ItemKey& key) const;

  /// The next report and request to control.
  statemachine::PullItems MakePull(std::uint32_t count) const;
  /// Control has taken the first `count` outcomes.
  void Reported(std::size_t count);
  std::size_t Unreported() const { return this->outcomes.size(); }
  std::size_t Held() const { return this->items.size(); }
  std::uint64_t tokens_kept() const { return this->kept_tokens; }

 private:
  struct Item {
    jobs::LeasedItem lease;
    jobs::ItemLine line;
    AnswerAssembler answer;
    std::string raw;  ///< Body of an answer that is not a stream of events.
    int status = 0;
    bool preempted = false;
  };
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
      0;  ///< Tokens that a preempted item did not have to repeat.
};

}  // namespace papayarack::gate

#endif  // PAPAYARACK_GATE_INTERNAL_BATCHDESK_H_
