#ifndef PAPAYARACK_NODES_TESTS_BATCHFIXTURES_H_
#define PAPAYARACK_NODES_TESTS_BATCHFIXTURES_H_

#include <chrono>
#include <memory>
#include <string>

#include "nodes/dialect.h"
#include "routes/routetable.h"

namespace papayarack::nodes {

/// A dialect without words of its own: answers are known by the header "Id".
inline Dialect MakeBatchDialect() {
  Dialect dialect;
  dialect.identity = [](const std::string& id) {
    return http::Header{"Id", id};
  };
  dialect.write_forward = [](http::Headers&, const ForwardFields&) {};
  dialect.read_engine_head = [](const http::HttpHead&) { return EngineHead{}; };
  return dialect;
}

/// One batch route, of host "h" and prefix "/r/", to the service "llm".
inline routes::RouteTablePtr MakeBatchTable() {
  routes::Route route;
  route.host = "h";
  route.path_prefix = "/r/";
  route.kind = routes::RouteKind::kBatch;
  route.max_attempts = 3;
  route.targets = {{"llm", 1}};
  route.batch.result_deadline = std::chrono::seconds(60);
  return std::make_shared<routes::RouteTable>(
      routes::FleetConfiguration{1, {route}, {}, {}});
}

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_TESTS_BATCHFIXTURES_H_
