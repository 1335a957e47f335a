#ifndef PAPAYARACK_DOCUMENTS_SERVICEDOCUMENT_H_
#define PAPAYARACK_DOCUMENTS_SERVICEDOCUMENT_H_

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace papayarack::documents {

enum class WorkClass : std::uint8_t { kOnline, kBatch };

/// One kind of work that a service accepts, with its latency targets and
/// limits.
struct WorkKind {
  std::string name;
  WorkClass work_class = WorkClass::kOnline;
  std::chrono::milliseconds first_token{
      630};  ///< Target for the 95th percentile.
  std::chrono::milliseconds between_tokens{
      44};  ///< Target for the 95th percentile.
  std::chrono::milliseconds deadline{
      30000};  ///< Default deadline of a request.
  std::chrono::seconds due_in{
      28800};                       ///< Batch: time from acceptance until due.
  std::uint32_t max_attempts = 3;   ///< Batch: attempts per item.
  std::uint32_t max_items = 63000;  ///< Batch: items per job.
  bool repeatable = true;           ///< Whether a request may run twice.
};

/// A model with its version and adapters.
struct ModelSpec {
  std::string name;
  std::string version;
  std::vector<std::string> adapters;
};

/// The configuration of a service, as submitted by its team.
struct ServiceDocument {
  std::string service;
  std::uint64_t version = 0;
  std::string owner;
  std::string kind = "engine";
  std::vector<ModelSpec> models;
  std::vector<WorkKind> work;
  std::uint32_t max_queue =
      256;  ///< Online requests that may queue at one gate.
  std::uint32_t max_concurrent =
      64;  ///< Upper bound of the adaptive concurrency limit of one upstream.
  bool learn_limit = true;  ///< False: max_concurrent is used as the limit.
  std::uint32_t keep_results_days = 30;

  /// Returns the kind of work called `name`, or the first of `work_class` if
  /// `name` is empty; null if there is none.
  const WorkKind* FindWork(std::string_view name, WorkClass work_class) const;
};

/// The JSON schema of a service document.
const nlohmann::json& DocumentSchema();

/// Validates and parses a document. Throws ResultError(kBadInput) that lists
/// every error with its JSON pointer. Thread safety: any thread.
ServiceDocument ParseDocument(const nlohmann::json& document);

/// Serializes with sorted keys and without white space: equal documents give
/// equal text.
std::string CanonicalText(const nlohmann::json& document);

/// Describes the differences between two documents, one line per JSON pointer.
std::vector<std::string> DescribeDifference(const nlohmann::json& in_force,
                                            const nlohmann::json& submitted);

}  // namespace papayarack::documents

#endif  // PAPAYARACK_DOCUMENTS_SERVICEDOCUMENT_H_
