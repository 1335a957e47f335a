#include "coordination/submissions.h"

#include <algorithm>
#include <utility>

#include "coordination/configurationchange.h"
#include "coordination/configurationhistory.h"
#include "global/logging.h"
#include "global/variantcodec.h"

namespace papayarack::coordination {

using transport::StreamId;

Submissions::Submissions(replication::ReplicatedGroup& group,
                         const CoordinationState& state,
                         std::string own_address, Answer answer,
                         Changed changed)
    : group(group),
      state(state),
      own_address(std::move(own_address)),
      answer(std::move(answer)),
      changed(std::move(changed)) {}

Submissions::~Submissions() { *this->alive = false; }

void Submissions::BeginTerm(Time now) {
  this->applies_changes.clear();
  this->acknowledgements.Clear(now);
}

void Submissions::OnReport(const WatchRequest& report, Time now) {
  if (report.self.Role() == NodeRole::kEntry) {
    this->acknowledgements.OnReport(report.self.name, report.config_version,
                                    now);
  }
  if (report.applies_changes) {
    this->applies_changes.insert(report.self.address);
  }
}

void Submissions::Tick(Time now) {
  this->Acknowledge(this->group.Leads() ? this->acknowledgements.TakeDue(now)
                                        : this->acknowledgements.TakeAll(now));
}

void Submissions::Acknowledge(
    std::span<const AcknowledgementQueue::Acknowledgement> due) {
  for (const AcknowledgementQueue::Acknowledgement& one : due) {
    Log(LogLevel::kInfo, "configuration_acknowledged",
        {{"config_version", one.version},
         {"held_ms",
          std::chrono::duration_cast<std::chrono::milliseconds>(one.delay)
              .count()},
         {"entries_lagging", one.lagging},
         {"first_lagging", one.first_lagging},
         {"leads", this->group.Leads()}});
    this->answer(one.stream, ResultCode::kOk);
  }
}

/// A duplicate of a configuration in flight waits for the first one. Operators
/// who get no reply for a second send the text to another process; otherwise
/// each copy would become a log entry and be sent to every member while the
/// first still waits for the link.
void Submissions::Take(StreamId stream, SubmitConfiguration submitted) {
  const std::uint64_t version = submitted.version;
  if (version <= this->state.version()) {
    this->AcknowledgeCurrent(stream, version);
    return;
  }
  const auto same = this->in_flight.find(version);
  if (same != this->in_flight.end() && same->second.text == submitted.text) {
    same->second.streams.push_back(stream);
    return;
  }
  if (same != this->in_flight.end()) {
    // Other content under a version in flight: the first one committed wins.
    this->group.Propose(EncodeVariant(CoordinationCommand(submitted)),
                        [this, stream, alive = this->alive](
                            const Result& result, const std::string&) {
                          if (*alive) {
                            this->answer(stream, result.code);
                            this->changed();
                          }
                        });
    return;
  }
  const std::string entry = EncodeVariant(this->CommandFor(submitted));
  Log(LogLevel::kInfo, "configuration_proposed",
      {{"config_version", version},
       {"text_bytes", submitted.text.size()},
       {"entry_bytes", entry.size()}});
  this->in_flight[version] = {std::move(submitted.text), {stream}};
  this->Propose(version, entry);
}

/// The version in force is as new or newer: acknowledged without a log entry,
/// once this member is confirmed as leader.
void Submissions::AcknowledgeCurrent(StreamId stream, std::uint64_t version) {
  this->group.Read([this, stream, version, alive = this->alive](bool leads) {
    if (!*alive) {
      return;
    }
    if (!leads) {
      this->answer(stream, ResultCode::kNotLeader);
      return;
    }
    this->acknowledgements.Add(stream, version, this->state.text().size(),
                               MonotonicNow());
  });
}

void Submissions::Propose(std::uint64_t version, const std::string& entry) {
  this->group.Propose(entry, [this, version, alive = this->alive](
                                 const Result& result, const std::string&) {
    if (*alive) {
      this->Confirmed(version, result.code);
      this->changed();
    }
  });
}

void Submissions::Confirmed(std::uint64_t version, ResultCode code) {
  const auto ended = this->in_flight.extract(version);
  if (ended.empty()) {
    return;
  }
  const InFlight& submission = ended.mapped();
  if (code != ResultCode::kOk) {
    for (const StreamId stream : submission.streams) {
      this->answer(stream, code);
    }
    return;
  }
  const Time now = MonotonicNow();
  for (const StreamId stream : submission.streams) {
    this->acknowledgements.Add(stream, version, submission.text.size(), now);
  }
}

bool Submissions::MembersApplyChanges() const {
  return std::ranges::all_of(
      this->group.members().members, [this](const consensus::Member& member) {
        return member.address == this->own_address ||
               this->applies_changes.count(member.address) > 0;
      });
}

/// A change depends on the text before it, which must be the same wherever it
/// is applied: no earlier log entry may be unapplied here.
CoordinationCommand Submissions::CommandFor(
    const SubmitConfiguration& submitted) const {
  const bool large =
      submitted.text.size() > ConfigurationHistory::kMaxInlineBytes;
  if (large && this->group.Leads() && this->group.AllApplied() &&
      this->MembersApplyChanges()) {
    auto change = ChangeBetween(this->state.text(), submitted);
    if (change.has_value()) {
      return std::move(*change);
    }
  }
  return submitted;
}

}  // namespace papayarack::coordination
