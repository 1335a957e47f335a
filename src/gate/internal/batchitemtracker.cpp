#include "gate/internal/batchitemtracker.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "global/logging.h"

namespace papayarack::gate {
namespace {

constexpr int kHttpOk = 200;
constexpr std::size_t kMaxReasonBytes = 500;

/// Whether the status means that the request can never succeed.
bool IsPermanentFailure(int status) {
  return status == 400 || status == 404 || status == 413 || status == 415 ||
         status == 422;
}

std::string ReasonFrom(const std::string& body, int status) {
  const nlohmann::json document = nlohmann::json::parse(body, nullptr, false);
  if (document.is_object() && document.contains("error") &&
      document["error"].is_object()) {
    return document["error"].value("message", fmt::format("status {}", status));
  }
  return fmt::format("status {}: {}", status, body.substr(0, kMaxReasonBytes));
}

}  // namespace

BatchItemTracker::BatchItemTracker(std::string holder,
                                   std::uint64_t incarnation,
                                   std::string service, std::int64_t lease_ms)
    : holder(std::move(holder)),
      incarnation(incarnation),
      service(std::move(service)),
      lease_ms(lease_ms) {}

bool BatchItemTracker::Add(WorkId id, const jobs::LeasedItem& lease) {
  Item item;
  item.lease = lease;
  try {
    item.line = jobs::ParseItemLine(lease.line, lease.key.item + 1);
  } catch (const ResultError& error) {
    this->Report(item, jobs::AttemptEnd::kImpossible,
                 jobs::ErrorLine(lease.key.job, lease.key.item, "",
                                 ResultCode::kItemImpossible, error.what()),
                 {});
    return false;
  }
  this->items.emplace(id, std::move(item));
  return true;
}

UpstreamCall BatchItemTracker::MakeCall(WorkId id, Duration read_timeout) {
  Item& item = this->items.at(id);
  DropObsoleteText(item);
  UpstreamCall call;
  call.id = id;
  call.request_id = fmt::format("{}-{}-{}", item.lease.key.job,
                                item.lease.key.item, item.lease.attempt);
  call.target = item.line.url;
  nlohmann::json body = item.line.body;
  body["stream"] = true;
  if (!item.answer.Text().empty()) {
    body["resume"] = {{"text", item.answer.Text()},
                      {"tokens", item.answer.Tokens()}};
  }
  call.body = body.dump();
  call.read_timeout = read_timeout;
  return call;
}

void BatchItemTracker::DropTexts() {
  for (auto& [id, item] : this->items) {
    item.text_obsolete = true;
  }
}

void BatchItemTracker::DropObsoleteText(Item& item) {
  if (!item.text_obsolete && !item.answer.Mixed()) {
    return;
  }
  if (!item.answer.Text().empty()) {
    Log(LogLevel::kInfo, "item_text_dropped",
        {{"job", item.lease.key.job},
         {"item", item.lease.key.item},
         {"tokens", item.answer.Tokens()},
         {"mixed", item.answer.Mixed()}});
  }
  item.answer = {};
  item.text_obsolete = false;
}

void BatchItemTracker::OnHead(WorkId id, int status) {
  const auto found = this->items.find(id);
  if (found != this->items.end()) {
    found->second.status = status;
  }
}

std::size_t BatchItemTracker::OnBytes(WorkId id, std::string_view bytes) {
  const auto found = this->items.find(id);
  if (found == this->items.end()) {
    return 0;
  }
  Item& item = found->second;
  if (item.status != kHttpOk) {
    item.raw.append(bytes);
    return 0;
  }
  return item.answer.Add(bytes);
}

void BatchItemTracker::Report(const Item& item, jobs::AttemptEnd end,
                              std::string line, std::string reason) {
  this->outcomes.push_back({item.lease.key, item.lease.attempt,
                            static_cast<std::uint8_t>(end), std::move(line),
                            std::move(reason)});
}

void BatchItemTracker::ReportAnswer(const Item& item) {
  const jobs::ItemKey& key = item.lease.key;
  if (item.status == kHttpOk && item.answer.Whole()) {
    this->Report(item, jobs::AttemptEnd::kDone,
                 jobs::OutputLine(key.job, key.item, item.line.custom_id,
                                  item.status, item.answer.Assemble()),
                 {});
  } else if (IsPermanentFailure(item.status)) {
    this->Report(item, jobs::AttemptEnd::kImpossible,
                 jobs::ErrorLine(key.job, key.item, item.line.custom_id,
                                 ResultCode::kItemImpossible,
                                 ReasonFrom(item.raw, item.status)),
                 {});
  } else if (item.status == kHttpOk) {
    this->Report(item, jobs::AttemptEnd::kFailed, {},
                 "the answer ended before it was whole");
  } else {
    this->Report(item, jobs::AttemptEnd::kFailed, {},
                 ReasonFrom(item.raw, item.status));
  }
}

bool BatchItemTracker::OnEnd(WorkId id, UpstreamEnd end,
                             std::string_view reason) {
  const auto found = this->items.find(id);
  if (found == this->items.end()) {
    return false;
  }
  Item& item = found->second;
  if (item.answer.Mixed() &&
      (!item.preempted || end == UpstreamEnd::kComplete)) {
    this->Report(item, jobs::AttemptEnd::kReturned, {},
                 "the upstream's software changed within the text");
  } else if (end == UpstreamEnd::kComplete &&
             (item.status != kHttpOk || item.answer.Whole())) {
    this->ReportAnswer(item);
  } else if (item.preempted) {
    item.preempted = false;
    item.status = 0;
    item.raw.clear();
    AnswerAssembler resumed;
    resumed.StartFrom(item.answer);
    item.answer = std::move(resumed);
    this->kept_tokens += item.answer.Tokens();
    return true;
  } else if (end == UpstreamEnd::kNotSent || end == UpstreamEnd::kUnstarted) {
    this->Report(item, jobs::AttemptEnd::kReturned, {}, std::string(reason));
  } else {
    this->Report(item, jobs::AttemptEnd::kFailed, {},
                 "the upstream cut the answer: " + std::string(reason));
  }
  this->items.erase(found);
  return false;
}

void BatchItemTracker::MarkPreempted(WorkId id) {
  this->items.at(id).preempted = true;
}

void BatchItemTracker::Return(WorkId id) {
  const auto found = this->items.find(id);
  if (found != this->items.end()) {
    this->Report(found->second, jobs::AttemptEnd::kReturned, {},
                 "the gate is leaving");
    this->items.erase(found);
  }
}

void BatchItemTracker::Remove(WorkId id) { this->items.erase(id); }

std::vector<WorkId> BatchItemTracker::All() const {
  std::vector<WorkId> ids;
  for (const auto& [id, item] : this->items) {
    ids.push_back(id);
  }
  return ids;
}

std::optional<WorkId> BatchItemTracker::Find(const jobs::ItemKey& key) const {
  const auto found = std::ranges::find_if(
      this->items,
      [&key](const auto& entry) { return entry.second.lease.key == key; });
  return found != this->items.end() ? std::optional(found->first)
                                    : std::nullopt;
}

statemachine::PullItems BatchItemTracker::MakePull(std::uint32_t count) const {
  statemachine::PullItems pull;
  pull.outcomes = this->outcomes;
  pull.lease.holder = this->holder;
  pull.lease.incarnation = this->incarnation;
  pull.lease.service = this->service;
  pull.lease.count = count;
  pull.lease.lease_ms = this->lease_ms;
  for (const auto& [id, item] : this->items) {
    pull.lease.holding.push_back(item.lease.key);
  }
  return pull;
}

void BatchItemTracker::Reported(std::size_t count) {
  this->outcomes.erase(
      this->outcomes.begin(),
      this->outcomes.begin() + static_cast<std::ptrdiff_t>(count));
}

}  // namespace papayarack::gate
