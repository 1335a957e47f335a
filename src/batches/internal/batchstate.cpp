#include "batches/batchstate.h"

#include <algorithm>
#include <numeric>
#include <tuple>
#include <utility>

#include "global/logging.h"
#include "global/variantcodec.h"

namespace papayarack::batches {

/// The state as in a snapshot. Snapshots of an earlier release have no bodies.
struct BatchState::Saved {
  std::unordered_map<std::string, Batch> batches;
  std::uint64_t texts_length = 0;
  ListedBodies bodies;
  MSGPACK_DEFINE(batches, texts_length, bodies)
};

namespace {

/// The state with all result texts, for another member.
struct ExportedBatches {
  std::string state;
  std::uint64_t first_text = 0;
  std::string texts;
  MSGPACK_DEFINE(state, first_text, texts)
};

/// Offset of the first text that a batch refers to; `none` if there is none.
std::uint64_t FirstTextOf(
    const std::unordered_map<std::string, BatchState::Batch>& batches,
    std::uint64_t none) {
  std::uint64_t first = none;
  for (const auto& [id, batch] : batches) {
    for (const BatchState::RecordedResult& result : batch.results) {
      if (result.text.length > 0) {
        first = std::min(first, result.text.offset);
      }
    }
  }
  return first;
}

BatchReply ReplyWith(ResultCode code) { return {static_cast<int>(code)}; }

std::uint64_t TokensOf(const std::vector<ItemSpec>& items) {
  std::uint64_t sum = 0;
  for (const ItemSpec& item : items) {
    sum += item.tokens;
  }
  return sum;
}

}  // namespace

std::string_view BatchState::Batch::IdAt(std::uint32_t position) const {
  return this->items[position].spec.id;
}

bool BatchState::Batch::MayBeCopy(const SubmitBatch& submitted) const {
  const bool visible = this->VisibleTo(submitted.organisation) ||
                       this->VisibleTo(submitted.key_holder);
  return visible && this->HasItems(submitted.items);
}

/// Compares what callers can ask for. Entries may read the rest of a batch
/// differently, and the bodies of items that need no run are dropped.
bool BatchState::Batch::HasItems(std::span<const ItemSpec> specs) const {
  return std::ranges::equal(
      this->items, specs, [this](const Item& kept, const ItemSpec& spec) {
        const bool has_body = !kept.has_result && !this->ended;
        return kept.spec.id == spec.id &&
               (!has_body || kept.spec.body == spec.body);
      });
}

void BatchState::Batch::IndexItems() {
  this->by_id.resize(this->items.size());
  std::iota(this->by_id.begin(), this->by_id.end(), 0U);
  std::ranges::stable_sort(this->by_id, {}, [this](std::uint32_t position) {
    return this->IdAt(position);
  });
}

std::optional<std::size_t> BatchState::Batch::PositionOf(
    std::string_view id) const {
  const auto found = std::ranges::lower_bound(
      this->by_id, id, {},
      [this](std::uint32_t position) { return this->IdAt(position); });
  if (found == this->by_id.end() || this->IdAt(*found) != id) {
    return std::nullopt;
  }
  return *found;
}

BatchReply BatchState::Apply(std::string_view command) {
  try {
    const auto decoded = DecodeVariant<BatchCommand>(command);
    return std::visit([this](const auto& body) { return this->Execute(body); },
                      decoded);
  } catch (const ResultError& error) {
    // All members read the same bytes, so all of them skip the command.
    Log(LogLevel::kError, "command_unreadable", {{"text", error.what()}});
    return ReplyWith(error.result().code);
  }
}

/// Idempotent: a batch that is submitted again is accepted without effect, so
/// that a client that got no answer may resend it to any process. One with
/// other items under the same id is refused, as its items would not be kept.
BatchReply BatchState::Execute(const SubmitBatch& command) {
  const Batch* known = this->Find(command.id);
  if (known != nullptr) {
    return ReplyWith(known->MayBeCopy(command) ? ResultCode::kOk
                                               : ResultCode::kConflict);
  }
  std::uint64_t& waiting =
      this->waiting_tokens[{command.organisation, command.route_key}];
  const std::uint64_t added = TokensOf(command.items);
  if (command.max_waiting_tokens != 0 &&
      waiting + added > command.max_waiting_tokens) {
    return ReplyWith(ResultCode::kOverloaded);
  }
  waiting += added;
  Batch batch;
  batch.host = command.host;
  batch.route_key = command.route_key;
  batch.submitted_ms = command.now_ms;
  batch.organisation = command.organisation;
  batch.config_version = command.config_version;
  for (const ItemSpec& spec : command.items) {
    batch.items.push_back({spec, false, 0, {}});
  }
  batch.IndexItems();
  this->all_batches.emplace(command.id, std::move(batch));
  this->changes.batches.push_back(command.id);
  return ReplyWith(ResultCode::kOk);
}

void BatchState::RecordResult(const ItemRef& ref, Batch& batch, Item& item,
                              bool complete, const std::string& text) {
  item.has_result = true;
  this->bodies.Add(ref, std::exchange(item.spec.body, {}));
  item.spec.headers.clear();
  item.failed_runs.clear();
  batch.results.push_back(
      {item.spec.id, complete,
       complete ? this->texts.Add(text) : this->texts.Add({})});
  if (!batch.ended) {
    std::uint64_t& waiting = this->WaitingTokensOf(batch);
    waiting -= std::min(waiting, item.spec.tokens);
  }
}

/// Counts each run once, however often it is reported. A report whose answer is
/// lost with the leader is sent again to the next leader, which may hold the
/// first copy in its log; if both counted, the item would be given up with
/// attempts left.
void BatchState::CountFailure(Item& item, std::uint64_t run) {
  const bool counted =
      std::ranges::find(item.failed_runs, run) != item.failed_runs.end();
  if (run != 0 && counted) {
    return;
  }
  item.failed_runs.push_back(run);
  ++item.failures;
}

void BatchState::ApplyOutcome(const ItemOutcome& outcome) {
  const auto found = this->all_batches.find(outcome.batch);
  if (found == this->all_batches.end()) {
    return;
  }
  Batch& batch = found->second;
  const std::optional<std::size_t> position = batch.PositionOf(outcome.item);
  // Only the first outcome counts: an item may run twice if its lease expired
  // early.
  if (!position.has_value() || batch.items[*position].has_result ||
      batch.ended) {
    return;
  }
  Item& item = batch.items[*position];
  const ItemRef ref{outcome.batch, outcome.item};
  this->changes.items.push_back(ref);
  switch (outcome.End()) {
    case ItemEnd::kComplete:
      this->RecordResult(ref, batch, item, true, outcome.text);
      break;
    case ItemEnd::kGivenUp:
      this->RecordResult(ref, batch, item, false, {});
      break;
    case ItemEnd::kFailed:
      CountFailure(item, outcome.run);
      if (item.failures >= outcome.max_attempts) {
        this->RecordResult(ref, batch, item, false, {});
      }
      break;
  }
}

BatchReply BatchState::Execute(const ReportOutcomes& command) {
  for (const ItemOutcome& outcome : command.outcomes) {
    this->ApplyOutcome(outcome);
  }
  return ReplyWith(ResultCode::kOk);
}

BatchReply BatchState::Execute(const EndBatch& command) {
  const auto found = this->all_batches.find(command.id);
  if (found == this->all_batches.end() ||
      !found->second.VisibleTo(command.organisation)) {
    return ReplyWith(ResultCode::kNotFound);
  }
  Batch& batch = found->second;
  if (batch.ended) {
    return ReplyWith(ResultCode::kOk);
  }
  std::uint64_t& waiting = this->WaitingTokensOf(batch);
  for (Item& item : batch.items) {
    if (!item.has_result) {
      waiting -= std::min(waiting, item.spec.tokens);
      item.spec.body = {};
      item.spec.headers.clear();
    }
  }
  this->bodies.DropBatch(command.id);
  batch.ended = true;
  this->changes.batches.push_back(command.id);
  return ReplyWith(ResultCode::kOk);
}

BatchReply BatchState::Execute(const ForgetBatches& command) {
  std::erase_if(this->all_batches, [this, &command](const auto& entry) {
    const bool forgotten =
        entry.second.submitted_ms < command.submitted_before_ms &&
        !entry.second.Open();
    if (forgotten) {
      this->bodies.DropBatch(entry.first);
    }
    return forgotten;
  });
  this->texts.DropBefore(this->FirstTextOffset());
  return ReplyWith(ResultCode::kOk);
}

BatchReply BatchState::Execute(const DropListedBodies& command) {
  this->bodies.DropUpTo(command.last);
  return ReplyWith(ResultCode::kOk);
}

std::uint64_t BatchState::FirstTextOffset() const {
  return FirstTextOf(this->all_batches, this->texts.length());
}

const BatchState::Batch* BatchState::Find(const std::string& id) const {
  const auto found = this->all_batches.find(id);
  return found != this->all_batches.end() ? &found->second : nullptr;
}

const BatchState::Item* BatchState::FindItem(const ItemRef& ref) const {
  const Batch* batch = this->Find(ref.batch);
  if (batch == nullptr) {
    return nullptr;
  }
  const std::optional<std::size_t> position = batch->PositionOf(ref.item);
  return position.has_value() ? &batch->items[*position] : nullptr;
}

bool BatchState::IsWaiting(const ItemRef& ref) const {
  const Batch* batch = this->Find(ref.batch);
  const Item* item = this->FindItem(ref);
  return item != nullptr && !item->has_result && !batch->ended;
}

const std::string* BatchState::BodyOf(const ItemRef& ref) const {
  return this->IsWaiting(ref) ? &this->FindItem(ref)->spec.body
                              : this->bodies.Find(ref);
}

std::vector<ItemRef> BatchState::WaitingItems() const {
  std::vector<std::pair<std::int64_t, std::string>> order;
  for (const auto& [id, batch] : this->all_batches) {
    if (batch.Open()) {
      order.emplace_back(batch.submitted_ms, id);
    }
  }
  std::ranges::sort(order);
  std::vector<ItemRef> waiting;
  for (const auto& [submitted, id] : order) {
    for (const Item& item : this->all_batches.at(id).items) {
      if (!item.has_result) {
        waiting.push_back({id, item.spec.id});
      }
    }
  }
  return waiting;
}

std::uint64_t BatchState::WaitingTokens(const std::string& organisation,
                                        const std::string& route_key) const {
  const auto found = this->waiting_tokens.find({organisation, route_key});
  return found != this->waiting_tokens.end() ? found->second : 0;
}

std::optional<ResultPage> BatchState::Page(const std::string& id,
                                           std::uint64_t after,
                                           std::size_t max_bytes) const {
  const Batch* batch = this->Find(id);
  if (batch == nullptr) {
    return std::nullopt;
  }
  ResultPage page;
  page.total = batch->items.size();
  std::size_t bytes = 0;
  for (std::uint64_t i = after; i < batch->results.size(); ++i) {
    const RecordedResult& result = batch->results[i];
    bytes += result.text.length;
    if (!page.results.empty() && bytes > max_bytes) {
      break;
    }
    page.results.push_back(
        {result.id, result.complete, this->texts.Read(result.text)});
  }
  page.next = after + page.results.size();
  return page;
}

std::string BatchState::Save() const {
  // The fields of Saved, without a copy.
  const std::tuple<const decltype(this->all_batches)&, std::uint64_t,
                   const ListedBodies&>
      saved(this->all_batches, this->texts.length(), this->bodies);
  return EncodeMessage(saved);
}

void BatchState::Load(std::string_view bytes) {
  this->Restore(DecodeMessage<Saved>(bytes));
}

/// Texts are needed from the first one on that a batch refers to. A member that
/// lost its disk never had the earlier ones: none, while no batch is kept.
void BatchState::Restore(Saved saved) {
  this->texts.Open(saved.texts_length,
                   FirstTextOf(saved.batches, saved.texts_length));
  this->all_batches = std::move(saved.batches);
  this->bodies = std::move(saved.bodies);
  this->bodies.RestoreIndex();
  for (auto& [id, batch] : this->all_batches) {
    batch.IndexItems();
  }
  this->RecountWaitingTokens();
}

std::string BatchState::Export() const {
  ExportedBatches exported;
  exported.state = this->Save();
  exported.first_text = this->FirstTextOffset();
  exported.texts = this->texts.Export(exported.first_text);
  return EncodeMessage(exported);
}

/// Releases what is read: a store with little memory cannot hold further copies
/// of the state.
std::string BatchState::Import(std::string exported) {
  auto decoded = DecodeMessage<ExportedBatches>(std::exchange(exported, {}));
  auto saved = DecodeMessage<Saved>(decoded.state);
  const bool complete =
      decoded.first_text <= FirstTextOf(saved.batches, saved.texts_length) &&
      decoded.first_text + decoded.texts.size() == saved.texts_length;
  if (!complete) {
    throw ResultError(ResultCode::kProtocol,
                      "the result texts do not fit the state");
  }
  this->texts.Import(decoded.first_text, std::exchange(decoded.texts, {}));
  this->Restore(std::move(saved));
  return std::move(decoded.state);
}

void BatchState::RecountWaitingTokens() {
  this->waiting_tokens.clear();
  for (const auto& [id, batch] : this->all_batches) {
    for (const Item& item : batch.items) {
      if (!item.has_result && !batch.ended) {
        this->WaitingTokensOf(batch) += item.spec.tokens;
      }
    }
  }
}

}  // namespace papayarack::batches
