#ifndef PAPAYARACK_NODES_OPERATORAPI_H_
#define PAPAYARACK_NODES_OPERATORAPI_H_

#include <functional>
#include <memory>
#include <string>

#include "http/httpserver.h"
#include "nodes/dialect.h"
#include "nodes/noderuntime.h"

namespace papayarack::nodes {

/// Serves operators' calls by forwarding them to the coordination group. Thread
/// safety: none, the loop's thread.
class OperatorApi {
 public:
  /// Starts listening if the options name an address for it. Precondition:
  /// `runtime` outlives it and watches the fleet before the first call.
  explicit OperatorApi(NodeRuntime& runtime);

  /// Closes idle connections, and the others after their answers.
  void BeginLeave();
  /// Accepts no further connections and refuses calls on open ones.
  void RefuseNew();
  /// Connections that operators have not closed, nor this process.
  std::size_t OpenConnections() const;

 private:
  void Listen();
  void OnRequest(http::ExchangeId exchange, const http::HttpRequest& request);
  void OnReplace(http::ExchangeId exchange,
                 const ReplaceConfigurationCall& call);
  void OnReadConfiguration(http::ExchangeId exchange);
  void OnEmptyStore(http::ExchangeId exchange, const std::string& name);
  void OnReadStore(http::ExchangeId exchange, const std::string& name);
  void CallCoordination(
      http::ExchangeId exchange, const std::string& path, std::string body,
      std::function<http::HttpResponse(const Result&, std::string)> answer);

  NodeRuntime& runtime;
  std::unique_ptr<http::HttpServer> control;  ///< Null without an address.
  bool refusing = false;
};

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_OPERATORAPI_H_
