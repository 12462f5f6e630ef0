#pragma once

#include <string>

#include "fescueramp/core/json_codec.h"

namespace fescueramp {

/// Address and credentials of a node's administration API.
struct AdminTarget {
  std::string m_address = "127.0.0.1";
  std::uint16_t m_port = 0;
  std::string m_token;
};

/// Blocking client of a node's administration API.
class AdminClient {
 public:
  explicit AdminClient(AdminTarget target) : m_target(std::move(target)) {}

  /// Sends one request and returns the JSON body of the response, whatever its status.
  /// @throws std::runtime_error when the node can't be reached, Error when the body is not JSON.
  json::value Call(const std::string& method, const std::string& path, const std::string& body = {});

 private:
  AdminTarget m_target;
};

/// Percent-encodes text for use in a query.
std::string EncodeQuery(std::string_view text);

}  // namespace fescueramp
