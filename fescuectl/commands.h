#pragma once

#include <string>

#include "fescuectl/admin_client.h"

/// Commands of the operators' tool. Each prints its result and returns the exit code: 0 for success, 1 for
/// failure. They throw Error when a query is refused or a file can't be read.
namespace fescueramp {

/// Options that all commands share.
struct CommandOptions {
  AdminTarget m_target;
  bool m_json = false;  ///< Print JSON instead of text.
};

/// Checks an object set file and prints every mistake.
int Validate(const CommandOptions& options, const std::string& file);

/// What Check reads.
struct CheckSources {
  std::string m_file;
  std::string m_against;    ///< File of the object set in force; empty for no comparison with a file.
  bool m_in_force = false;  ///< Whether to compare with the set that a node has in force.
  bool m_platform = false;  ///< Whether the files are in the format of the users' platform.
};

/// Checks an object set file, prints one finding a line, and fails if there are errors.
int Check(const CommandOptions& options, const CheckSources& sources);

/// Prints the differences between the object set in force and a file.
int Diff(const CommandOptions& options, const std::string& file);

/// Publishes an object set.
/// @param base Revision that the change is based on; 0 for the one in force.
/// @param publish_id Id of the publication, which makes repeated calls safe; empty for a new one.
int Publish(const CommandOptions& options, const std::string& file, std::int64_t base,
            std::string publish_id);

/// Publishes an earlier revision again, as a new one.
int Rollback(const CommandOptions& options, std::int64_t revision);

/// Prints the publications, the latest first.
int History(const CommandOptions& options);

/// Prints the object set in force.
int Get(const CommandOptions& options);

/// Prints the revision in force on each node.
int ConfigStatus(const CommandOptions& options);

/// Prints services, queues and endpoints.
int Status(const CommandOptions& options);

/// Prints why a request was served when it was, or which of two requests went first, and why.
int Explain(const CommandOptions& options, const std::string& request_id, const std::string& versus);

/// Publishes a change of an endpoint's administrative state.
/// @param action "drain", "eject" or "restore".
int SetEndpointAdminState(const CommandOptions& options, const std::string& action,
                          const std::string& endpoint);

/// Verifies a receipt with the key in `key_file` and prints its contents.
int CheckReceipt(const CommandOptions& options, const std::string& receipt, const std::string& key_file);

/// Replays a recorded trace and prints effects that differ.
int Replay(const CommandOptions& options, const std::string& trace);

/// Prints every object and field as Markdown.
int PrintSchema();

/// Prints every result code as Markdown.
int PrintCodes();

}  // namespace fescueramp
