#ifndef PAPAYARACK_DOCUMENTS_DOCUMENTSTORE_H_
#define PAPAYARACK_DOCUMENTS_DOCUMENTSTORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "global/messagecodec.h"
#include "global/resultcode.h"

namespace papayarack::documents {

/// Sequence number of accepted documents over all services, in the order of
/// acceptance. Never decreases.
using Revision = std::uint64_t;

/// A document in force.
struct AcceptedDocument {
  std::string service;
  std::uint64_t version = 0;
  Revision revision = 0;
  std::string text;  ///< Canonical JSON.
  MSGPACK_DEFINE(service, version, revision, text)
};

/// The answer to a submission.
struct SubmitOutcome {
  int code = 0;
  Revision revision =
      0;  ///< Revision of the document, also if it was accepted before.
  AcceptedDocument in_force;  ///< On a conflict: the current document.
  MSGPACK_DEFINE(code, revision, in_force)
};

/// Stores the service documents; part of the replicated state machine. Version
/// n + 1 must follow version n; a resend of the same version and content gets
/// the first answer again; anything else is a conflict. Deterministic: the same
/// calls in the same order give the same state. Thread safety: none.
class DocumentStore {
 public:
  /// Precondition: `text` is canonical, and `service` and `version` are those
  /// of the document.
  SubmitOutcome Submit(std::string_view service, std::uint64_t version,
                       std::string_view text);
  /// Returns the document in force, or null.
  const AcceptedDocument* Find(std::string_view service) const;
  /// Documents in force that were accepted after `since`, at most one per
  /// service.
  std::vector<AcceptedDocument> ChangesSince(Revision since) const;
  Revision revision() const { return this->last_revision; }
  std::vector<std::string> Services() const;

  std::string Save() const;
  /// Throws ResultError(kProtocol) on malformed bytes.
  void Load(std::string_view bytes);

 private:
  static constexpr std::size_t kRememberedVersions = 64;

  /// An accepted version, kept to answer a resend.
  struct PastVersion {
    std::uint64_t version = 0;
    Revision revision = 0;
    std::string content_hash;
    MSGPACK_DEFINE(version, revision, content_hash)
  };
  struct Service {
    AcceptedDocument current;
    std::vector<PastVersion> past;
    MSGPACK_DEFINE(current, past)
  };

  std::map<std::string, Service, std::less<>> services;
  Revision last_revision = 0;
};

}  // namespace papayarack::documents

#endif  // PAPAYARACK_DOCUMENTS_DOCUMENTSTORE_H_
