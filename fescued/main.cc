#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <iostream>

#include "fescueramp/daemon/node_daemon.h"
#include "platform/platform_adapter.h"

namespace {

constexpr int kExitSettings = 2;
constexpr int kExitFailure = 1;

/// Adapter that the settings name; null for none. @throws Error when there is no such adapter.
const fescueramp::Adapter* FindAdapter(const std::string& name) {
  static const fescueramp::PlatformAdapter kPlatform;
  if (name.empty()) return nullptr;
  if (name == kPlatform.Name()) return &kPlatform;
  throw fescueramp::Error(
      fescueramp::ResultCode::kInvalidSettings,
      "adapter: unknown name (accepted: " + std::string(kPlatform.Name()) + ", or empty)");
}

int Run(const std::string& settings_path) {
  fescueramp::Settings settings = fescueramp::LoadSettings(settings_path);
  boost::asio::io_context io(1);
  const fescueramp::Adapter* adapter = FindAdapter(settings.m_adapter);
  fescueramp::NodeDaemon shell(io, std::move(settings), settings_path, adapter);
  io.run();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"fescued: one node of a fescueramp proxy fleet."};
  app.set_version_flag("--version", FESCUERAMP_VERSION);
  std::string settings_path;
  std::string check_path;
  app.add_option("--settings", settings_path, "Settings file, JSON with comments");
  app.add_option("--check-settings", check_path, "Check a settings file, list every mistake and end");
  CLI11_PARSE(app, argc, argv);
  try {
    if (!check_path.empty()) {
      FindAdapter(fescueramp::LoadSettings(check_path).m_adapter);
      std::cout << check_path << " is good\n";
      return 0;
    }
    if (settings_path.empty()) {
      std::cerr << "fescued: --settings FILE is missing; see --help\n";
      return kExitSettings;
    }
    return Run(settings_path);
  } catch (const fescueramp::Error& error) {
    std::cerr << "fescued: " << static_cast<int>(error.Code()) << " "
              << fescueramp::GetResultInfo(error.Code()).m_name << ": " << error.what() << "\n";
    return kExitSettings;
  } catch (const std::exception& error) {
    std::cerr << "fescued: " << error.what() << "\n";
    return kExitFailure;
  }
}
