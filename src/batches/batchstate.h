#ifndef PAPAYARACK_BATCHES_BATCHSTATE_H_
#define PAPAYARACK_BATCHES_BATCHSTATE_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "batches/batchmessages.h"
#include "batches/resulttexts.h"
#include "global/resultcode.h"

namespace papayarack::batches {

/// What the job group's log holds. Alternatives are only ever added at the end.
using BatchCommand =
    std::variant<SubmitBatch, ReportOutcomes, EndBatch, ForgetBatches>;

/// The answer to one command.
struct BatchReply {
  int code = 0;
  MSGPACK_DEFINE(code)
};

/// Every batch, its items and its results: the durable state of the job group.
/// An item is listed at most once, and a listed result never changes. Thread
/// safety: none.
class BatchState {
 public:
  struct Item {
    ItemSpec spec;
    bool listed = false;
    std::uint32_t failures = 0;
    /// Runs counted in `failures`, as far as they were named; a few.
    std::vector<std::uint64_t> failed_runs;
    MSGPACK_DEFINE(spec, listed, failures, failed_runs)
  };
  /// A result; its text lies in ResultTexts.
  struct Listed {
    std::string id;
    bool complete = false;  ///< Else given up.
    TextRef text;
    MSGPACK_DEFINE(id, complete, text)
  };
  struct Batch {
    std::string host;
    std::string route_key;
    std::int64_t submitted_ms = 0;
    bool ended = false;
    std::vector<Item> items;
    std::vector<Listed> results;  ///< In the order of their positions.
    /// Positions in `items` in the order of their ids; not saved.
    std::vector<std::uint32_t> by_id;
    MSGPACK_DEFINE(host, route_key, submitted_ms, ended, items, results)

    bool Open() const {
      return !this->ended && this->results.size() < this->items.size();
    }
    /// Sorts `by_id`, to be called when `items` is complete.
    void IndexItems();
    /// Where the first item of that id stands. Precondition: IndexItems was
    /// called.
    std::optional<std::size_t> PositionOf(std::string_view id) const;
    std::string_view IdAt(std::uint32_t position) const;
  };
  /// What commands changed of what may run.
  struct Changes {
    std::vector<std::string> batches;  ///< Opened or ended.
    std::vector<ItemRef> items;        ///< Listed, or an attempt failed.
  };

  /// Precondition: `files` outlives the book.
  explicit BatchState(storage::FileSystem& files) : texts(files) {}

  /// Applies one committed command; malformed ones change nothing.
  BatchReply Apply(std::string_view command);
  /// The state without the texts of results, which ArchiveTexts moves to files.
  std::string Save() const;
  /// Throws ResultError(kProtocol) on malformed bytes, and kStorageDamaged when
  /// texts that they refer to are not in the files.
  void Load(std::string_view bytes);
  /// See ResultTexts::Archive; goes with the Save just before it.
  std::function<void()> ArchiveTexts() { return this->texts.Archive(); }
  void TextsArchived() { this->texts.Archived(); }
  /// The state with all texts, for another member.
  std::string Export() const;
  /// Takes an export's texts into files; returns what Load takes.
  std::string Import(std::string_view exported);

  const Batch* Find(const std::string& id) const;
  const Item* FindItem(const ItemRef& ref) const;
  /// True while the item may run: accepted, not listed, batch not ended.
  bool Waits(const ItemRef& ref) const;
  /// Every item that may run, oldest batch first.
  std::vector<ItemRef> WaitingItems() const;
  /// Tokens of accepted items that are not listed, on one route.
  std::uint64_t WaitingTokens(const std::string& route_key) const;
  /// Results from position `after` on, up to `max_bytes` but at least one when
  /// there is one. Empty when there is no such batch. Throws
  /// ResultError(kStorageDamaged) when a text cannot be read back.
  std::optional<ResultPage> Page(const std::string& id, std::uint64_t after,
                                 std::size_t max_bytes) const;
  const std::unordered_map<std::string, Batch>& batches() const {
    return this->all;
  }
  /// All changes since the last call.
  Changes TakeChanges() { return std::exchange(this->changes, {}); }

 private:
  BatchReply Do(const SubmitBatch& command);
  BatchReply Do(const ReportOutcomes& command);
  BatchReply Do(const EndBatch& command);
  BatchReply Do(const ForgetBatches& command);
  static void CountFailure(Item& item, std::uint64_t run);
  void TakeOutcome(const ItemOutcome& outcome);
  void List(Batch& batch, Item& item, bool complete, const std::string& text);
  void Recount();
  /// Offset of the oldest text that a batch refers to.
  std::uint64_t FirstText() const;

  std::unordered_map<std::string, Batch> all;
  ResultTexts texts;
  std::map<std::string, std::uint64_t> waiting_tokens;  ///< By route key.
  Changes changes;
};

}  // namespace papayarack::batches

#endif  // PAPAYARACK_BATCHES_BATCHSTATE_H_
