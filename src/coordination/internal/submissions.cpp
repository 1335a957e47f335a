#include "coordination/submissions.h"

#include <algorithm>
#include <utility>

#include "coordination/configurationchange.h"
#include "coordination/configurationshelf.h"
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
  this->hold.Clear(now);
}

void Submissions::Heard(const WatchRequest& report, Time now) {
  if (report.self.Role() == NodeRole::kEntry) {
    this->hold.Heard(report.self.name, report.config_version, now);
  }
  if (report.applies_changes) {
    this->applies_changes.insert(report.self.address);
  }
}

void Submissions::Tick(Time now) {
  this->Acknowledge(this->group.Leads() ? this->hold.Release(now)
                                        : this->hold.ReleaseAll(now));
}

void Submissions::Acknowledge(
    std::span<const AcknowledgementHold::Released> due) {
  for (const AcknowledgementHold::Released& one : due) {
    Log(LogLevel::kInfo, "configuration_acknowledged",
        {{"config_version", one.version},
         {"held_ms",
          std::chrono::duration_cast<std::chrono::milliseconds>(one.held_for)
              .count()},
         {"entries_lagging", one.lagging},
         {"first_lagging", one.first_lagging},
         {"leads", this->group.Leads()}});
    this->answer(one.stream, ResultCode::kOk);
  }
}

/// Symptom guarded against: an operator that hears nothing for a second sends
/// the same text to another process, and each copy becomes an entry of the log,
/// sent to every member, while the first still waits for the link. A copy of
/// what is on its way waits for that.
void Submissions::Take(StreamId stream, SubmitConfiguration submitted) {
  const std::uint64_t version = submitted.version;
  if (version <= this->state.version()) {
    this->TakeHeld(stream, version);
    return;
  }
  const auto same = this->under_way.find(version);
  if (same != this->under_way.end() && same->second.text == submitted.text) {
    same->second.streams.push_back(stream);
    return;
  }
  if (same != this->under_way.end()) {
    // Other content under a version on its way: whichever comes first counts.
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
  this->under_way[version] = {std::move(submitted.text), {stream}};
  this->Propose(version, entry);
}

/// Overtaken: acknowledged without an entry, once this member is known to lead
/// still.
void Submissions::TakeHeld(StreamId stream, std::uint64_t version) {
  this->group.Read([this, stream, version, alive = this->alive](bool leads) {
    if (!*alive) {
      return;
    }
    if (!leads) {
      this->answer(stream, ResultCode::kNotLeader);
      return;
    }
    this->hold.Hold(stream, version, this->state.text().size(), MonotonicNow());
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
  const auto ended = this->under_way.extract(version);
  if (ended.empty()) {
    return;
  }
  const UnderWay& submission = ended.mapped();
  if (code != ResultCode::kOk) {
    for (const StreamId stream : submission.streams) {
      this->answer(stream, code);
    }
    return;
  }
  const Time now = MonotonicNow();
  for (const StreamId stream : submission.streams) {
    this->hold.Hold(stream, version, submission.text.size(), now);
  }
}

bool Submissions::MembersApplyChanges() const {
  return std::ranges::all_of(
      this->group.members().members, [this](const consensus::Member& member) {
        return member.address == this->own_address ||
               this->applies_changes.count(member.address) > 0;
      });
}

/// A change names what the text before lacks, so that text must be the same
/// wherever the command is applied: nothing else may stand before it in the log
/// that is not applied here.
CoordinationCommand Submissions::CommandFor(
    const SubmitConfiguration& submitted) const {
  const bool large = submitted.text.size() > ConfigurationShelf::kInlineBytes;
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
