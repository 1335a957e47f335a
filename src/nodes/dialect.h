#ifndef PAPAYARACK_NODES_DIALECT_H_
#define PAPAYARACK_NODES_DIALECT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "batches/batchmessages.h"
#include "coordination/coordinationmessages.h"
#include "http/httpclient.h"
#include "http/httpserver.h"
#include "routes/fleetconfiguration.h"

namespace papayarack::nodes {

/// Fields of a caller's online request that an entry uses.
struct CallFields {
  std::string id;
  std::optional<std::chrono::milliseconds> deadline;  ///< Since its arrival.
  std::optional<std::uint64_t> resume_after;          ///< Last event received.
  /// Id of the caller's attempt that delivered the first event of the stream
  /// that this request resumes; empty if it does not say.
  std::string resumes = {};
  /// Ids of the parts of its prompt, in order; empty if it does not say.
  std::vector<std::string> prompt_parts = {};
};

/// Fields that an entry or gate adds to a request for an engine.
struct ForwardFields {
  std::optional<std::chrono::milliseconds> deadline;  ///< Time left.
  std::string engine_id;  ///< Only the replica of this id may run it.
  std::optional<std::uint64_t> resume_after;
  std::string organisation = {};  ///< Of the caller; empty: anonymous.
};

/// Load that an engine reports.
struct EngineLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  std::uint64_t started_ms = 0;  ///< As in coordination::EngineInstance.
  /// How long work takes on its machine at the moment, in percent of the usual
  /// time; zero: not known.
  std::uint32_t pace = 0;
};
struct EngineHead {
  bool not_run = false;  ///< The engine states that the request did not run.
  bool sealed = false;   ///< Has the header of a complete engine answer.
  std::optional<EngineLoad> load;
  /// Id of the replica that answered; empty if it does not say.
  std::string engine_id = {};
};

/// Batch calls other than submission.
struct BatchResultsCall {
  batches::ReadResults query;
};
struct BatchBodyCall {
  batches::ReadItemBody query;
};
struct BatchEndCall {
  std::string id;
};
using BatchCall =
    std::variant<std::monostate, BatchResultsCall, BatchBodyCall, BatchEndCall>;

/// Operator calls.
struct ReplaceConfigurationCall {
  std::uint64_t version = 0;
  std::string text;
};
struct ReadConfigurationCall {};
struct EmptyStoreCall {
  std::string name;
};
struct ReadStoreCall {
  std::string name;
};
using OperatorCall =
    std::variant<std::monostate, ReplaceConfigurationCall,
                 ReadConfigurationCall, EmptyStoreCall, ReadStoreCall>;

/// One page of the platform's list of replicas.
struct EnginePage {
  std::vector<coordination::EngineInstance> engines;
  std::string next;         ///< Token of the following page; empty on the last.
  std::size_t skipped = 0;  ///< Entries without a usable replica.
  /// The problem with the first skipped entry, or with `next`; empty when there
  /// is none.
  std::string first_problem;
};

/// The wire names and formats of one deployment; the functions only translate.
/// The reading functions throw ResultError(kBadInput) for input that they
/// cannot read completely. Thread safety: any thread.
struct Dialect {
  std::function<CallFields(const http::Headers&)> read_call;
  /// Removes the caller's key, which nothing behind may see, and whatever the
  /// caller states about its organisation. Returns the key, empty if there is
  /// none.
  std::function<std::string(http::Headers&)> take_key;
  std::function<void(http::Headers&, const ForwardFields&)> write_forward;
  /// The header that marks an answer as belonging to request `id`.
  std::function<http::Header(const std::string& id)> identity;
  std::function<EngineHead(const http::HttpHead&)> read_engine_head;
  std::function<routes::FleetConfiguration(std::string_view)>
      read_configuration;
  std::function<batches::SubmitBatch(const http::HttpRequest&)> read_batch;
  std::function<BatchCall(const http::HttpRequest&)> read_batch_call;
  std::function<std::string(const batches::ResultPage&)> write_results;
  std::function<OperatorCall(const http::HttpRequest&)> read_operator_call;
  std::function<std::string(const coordination::StoreState&)> write_store;
  /// The path at which an engine reports its load, and the parser of the
  /// report.
  std::string report_target;
  std::function<EngineLoad(std::string_view)> read_report;
  std::function<std::string(const std::string& page)> list_target;
  std::function<EnginePage(std::string_view)> read_engine_page;
};

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_DIALECT_H_
