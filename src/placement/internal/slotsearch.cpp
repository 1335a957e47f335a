#include "placement/slotsearch.h"

#include <algorithm>
#include <utility>

namespace papayarack::placement {

SearchStep SlotSearch::Next(EngineChooser& chooser,
                            std::chrono::milliseconds budget, Time now) {
  if (this->queueing) {
    return NoSlot{"no slot came free in time"};
  }
  bool unowned_share_used = false;
  while (this->asks < kMaxImmediateAsks &&
         this->preemptible_gates < kMaxSparingAsks) {
    const auto option =
        chooser.Choose(this->query, this->own_zone, this->tried, now);
    if (!option.has_value()) {
      break;
    }
    this->tried.push_back(option->Start());
    if (!option->gate.empty()) {
      ++this->asks;
      this->asked = option;
      const bool spares =
          this->may_spare && (this->always_spares ||
                              chooser.SparesItems(this->query.service, now));
      return AskGate{*option, std::chrono::milliseconds(0), spares};
    }
    const bool unlimited = option->slots == 0;
    if (unlimited ||
        chooser.OwnRequests(option->address) < option->unowned_share) {
      ++this->asks;
      return SendUngated{*option};
    }
    unowned_share_used = true;
  }
  if (this->preemptible.has_value()) {
    return this->AskToPreempt();
  }
  if (this->asks == 0) {
    return this->NothingAsked(chooser, unowned_share_used);
  }
  return this->QueueAtLeastBusy(budget);
}

NoSlot SlotSearch::NothingAsked(const EngineChooser& chooser,
                                bool unowned_share_used) const {
  if (unowned_share_used) {
    return {"its share of engines that nobody owns is in use"};
  }
  if (chooser.OptionCount(this->query) > 0) {
    return {"no gate asked gives slots"};
  }
  return {this->query.began.has_value()
              ? "no replica of the version that began its text is left"
              : "no replica of the service is known",
          true};
}

SearchStep SlotSearch::QueueAtLeastBusy(std::chrono::milliseconds budget) {
  if (!this->least_busy.has_value() || *this->shortest_wait > budget) {
    return NoSlot{"the shortest queue is longer than the caller can wait"};
  }
  this->queueing = true;
  this->asked = this->least_busy;
  this->longest_wait = std::max(std::chrono::milliseconds(1), budget);
  ++this->asks;
  return AskGate{*this->least_busy, this->longest_wait};
}

SearchStep SlotSearch::AskToPreempt() {
  this->asked = std::exchange(this->preemptible, std::nullopt);
  this->preemptible_gates = 0;
  this->may_spare = false;
  return AskGate{*this->asked};
}

void SlotSearch::WouldPreempt() {
  if (!this->may_spare) {
    return;  // It was asked to preempt one: not asked again.
  }
  ++this->preemptible_gates;
  if (!this->preemptible.has_value()) {
    this->preemptible = this->asked;
  }
}

void SlotSearch::Busy(std::chrono::milliseconds expected_wait) {
  if (!this->shortest_wait.has_value() ||
      expected_wait < *this->shortest_wait) {
    this->shortest_wait = expected_wait;
    this->least_busy = this->asked;
  }
}

void SlotSearch::Closed() {
  if (this->queueing) {
    this->ResetSearch();
  } else {
    this->Unanswered();
  }
}

void SlotSearch::Unanswered() {
  if (!this->queueing) {
    this->asks -= this->asks > 0 ? 1 : 0;
  }
}

void SlotSearch::NoOwner() {
  this->Closed();
  if (this->asked.has_value()) {
    std::erase_if(this->tried, [this](const EngineStart& start) {
      return start.address == this->asked->address;
    });
  }
}

void SlotSearch::ResetSearch() {
  this->asks = 0;
  this->preemptible.reset();
  this->preemptible_gates = 0;
  this->may_spare = true;
  this->queueing = false;
  this->longest_wait = std::chrono::milliseconds(0);
  this->asked.reset();
  this->least_busy.reset();
  this->shortest_wait.reset();
}

void SlotSearch::Restart(const EngineChooser& chooser,
                         const EngineStart& failed) {
  this->ResetSearch();
  if (chooser.HasUntried(this->query, this->tried)) {
    return;
  }
  this->tried.clear();
  if (chooser.OptionCount(this->query) > 1) {
    this->tried.push_back(failed);
  }
}

}  // namespace papayarack::placement
