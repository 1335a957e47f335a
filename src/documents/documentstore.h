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

/// Numbers accepted documents in the order of acceptance, over all services.
/// Never falls.
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
  Revision revision = 0;      ///< Of the accepted or already accepted document.
  AcceptedDocument in_force;  ///< On a conflict: what stands.
  MSGPACK_DEFINE(code, revision, in_force)
};

/// All service documents, as the log decides them. The rules: version n + 1
/// follows n; the same version with the same content gets the first answer
/// again; anything else is a conflict. Deterministic: the same calls in the
/// same order give the same state. Thread safety: none.
class DocumentStore {
 public:
  /// Precondition: `text` is canonical and its service and version are those
  /// given.
  SubmitOutcome Submit(std::string_view service, std::uint64_t version,
                       std::string_view text);
  /// The document in force, or nothing.
  const AcceptedDocument* Find(std::string_view service) const;
  /// Documents in force that were accepted after `since`, each service once at
  /// most.
  std::vector<AcceptedDocument> ChangesSince(Revision since) const;
  Revision revision() const { return this->last_revision; }
  std::vector<std::string> Services() const;

  std::string Save() const;
  /// Throws ResultError(kProtocol) on malformed bytes.
  void Load(std::string_view bytes);

 private:
  static constexpr std::size_t kRememberedVersions = 64;

  /// One earlier acceptance, remembered to answer a resend.
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
