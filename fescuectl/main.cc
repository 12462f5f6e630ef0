#include <CLI/CLI.hpp>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include "fescuectl/commands.h"

namespace {

constexpr int kExitUsage = 2;

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"fescuectl: operators' tool of a fescueramp proxy fleet."};
  app.set_version_flag("--version", FESCUERAMP_VERSION);
  app.require_subcommand(1);
  fescueramp::CommandOptions options;
  if (const char* token = std::getenv("FESCUE_TOKEN")) options.m_target.m_token = token;
  app.add_option("--admin-address", options.m_target.m_address, "IP address of any node");
  app.add_option("--admin-port", options.m_target.m_port, "Administration port of that node");
  app.add_option("--token", options.m_target.m_token,
                 "Operator token; FESCUE_TOKEN in the environment by default");
  app.add_flag("--json", options.m_json, "Print JSON");

  int exit_code = 0;
  std::string file;
  std::string name;
  std::string versus;
  std::int64_t revision = 0;
  const auto add = [&](const char* command, const char* help, auto run) {
    auto* sub = app.add_subcommand(command, help);
    sub->callback([&exit_code, run] { exit_code = run(); });
    return sub;
  };
  add("validate", "Check an object set and list every mistake",
      [&] { return fescueramp::Validate(options, file); })
      ->add_option("file", file, "Object set, JSON with comments")
      ->required();
  fescueramp::CheckSources sources;
  auto* check = add("check", "Check an object set before it is sent: errors, warnings, risks and changes",
                    [&] { return fescueramp::Check(options, sources); });
  check->fallthrough();  // Options of all commands, such as --json, may follow the file.
  check->add_option("file", sources.m_file, "Object set, JSON with comments")->required();
  auto* against = check->add_option("--against", sources.m_against, "Object set in force, to compare with");
  check->add_flag("--in-force", sources.m_in_force, "Compare with the set that the node has in force")
      ->excludes(against);
  check->add_flag("--platform", sources.m_platform, "The files are in the format of the users' platform");
  add("diff", "Show what publishing a set would change", [&] { return fescueramp::Diff(options, file); })
      ->add_option("file", file, "Object set, JSON with comments")
      ->required();
  auto* publish = add("publish", "Check and publish an object set",
                      [&] { return fescueramp::Publish(options, file, revision, name); });
  publish->add_option("file", file, "Object set, JSON with comments")->required();
  publish->add_option("--base", revision,
                      "Revision that the change is based on; the one in force by default");
  publish->add_option("--publish-id", name,
                      "Id of this publication; publishing again with the same id is safe");
  auto* rollback = add("rollback", "Publish an earlier revision again",
                       [&] { return fescueramp::Rollback(options, revision); });
  rollback->add_option("revision", revision, "Revision to return to")->required();
  add("history", "List publications", [&] { return fescueramp::History(options); });
  add("get", "Print the object set in force", [&] { return fescueramp::Get(options); });
  add("config-status", "List the revision in force on each node",
      [&] { return fescueramp::ConfigStatus(options); });
  add("status", "Show services, queues and endpoints", [&] { return fescueramp::Status(options); });
  auto* explain = add("explain", "Explain why a request was served when it was",
                      [&] { return fescueramp::Explain(options, name, versus); });
  explain->add_option("request", name, "Request id, from the response's Fescue-Request-Id")->required();
  explain->add_option("--versus", versus, "Another request to compare with");
  for (const char* action : {"drain", "eject", "restore"}) {
    add(action, "Publish a change of an endpoint's administrative state",
        [&, action] { return fescueramp::SetEndpointAdminState(options, action, name); })
        ->add_option("endpoint", name, "Name of the endpoint")
        ->required();
  }
  auto* receipt = add("verify-receipt", "Check the receipt of a response",
                      [&] { return fescueramp::CheckReceipt(options, name, file); });
  receipt->add_option("receipt", name, "Value of Fescue-Receipt")->required();
  receipt->add_option("--key-file", file, "File with the receipt key")->required();
  add("replay", "Replay a recorded trace and show effects that differ",
      [&] { return fescueramp::Replay(options, file); })
      ->add_option("trace", file, "Trace file")
      ->required();
  add("schema", "Print every object and field as Markdown", [] { return fescueramp::PrintSchema(); });
  add("codes", "Print every result code as Markdown", [] { return fescueramp::PrintCodes(); });

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    const int code = app.exit(error);
    return code == 0 ? 0 : kExitUsage;
  } catch (const fescueramp::Error& error) {
    std::cerr << "fescuectl: " << static_cast<int>(error.Code()) << " "
              << fescueramp::GetResultInfo(error.Code()).m_name << ": " << error.what() << "\n";
    return 1;
  } catch (const std::exception& error) {
    std::cerr << "fescuectl: " << error.what() << "\n";
    return 1;
  }
  return exit_code;
}
