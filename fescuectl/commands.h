#pragma once

#include <string>

#include "fescuectl/admin_client.h"

/// Commands of the operators' tool. Each returns the exit code: 0 for success, 1 for a refusal.
namespace fescueramp {

/// Options that all commands share.
struct CommandOptions {
  AdminTarget m_target;
  bool m_json = false;  ///< Print JSON instead of text.
};

int Validate(const CommandOptions& options, const std::string& file);
int Diff(const CommandOptions& options, const std::string& file);

/// @param base Revision that the change starts from; 0 for the one in force.
/// @param publish_id Name of the publication; a new one when empty.
int Publish(const CommandOptions& options, const std::string& file, std::int64_t base,
            std::string publish_id);
int Rollback(const CommandOptions& options, std::int64_t revision);
int History(const CommandOptions& options);
int Get(const CommandOptions& options);
int ConfigStatus(const CommandOptions& options);
int Status(const CommandOptions& options);
int Explain(const CommandOptions& options, const std::string& request_id, const std::string& versus);

/// @param order "drain", "eject" or "restore".
int SetEndpointAdminState(const CommandOptions& options, const std::string& order,
                          const std::string& endpoint);
int CheckReceipt(const CommandOptions& options, const std::string& receipt, const std::string& key_file);
int Replay(const CommandOptions& options, const std::string& trace);
int PrintSchema();
int PrintCodes();

}  // namespace fescueramp
