#include "fescueramp/node/trace.h"

#include "fescueramp/core/json_codec.h"

namespace fescueramp {
namespace {

json::array EffectsToJson(const Effects& effects) {
  json::array array;
  for (const auto& effect : effects) array.push_back(VariantToJson(effect));
  return array;
}

}  // namespace

TraceWriter::TraceWriter(std::ostream& out, const NodeSettings& settings) : m_out(out) {
  m_out << json::serialize(ToJson(settings)) << '\n';
}

void TraceWriter::Write(const Event& event, Instant now, const Effects& effects) {
  const json::object line{
      {"now", ToJson(now)}, {"event", VariantToJson(event)}, {"effects", EffectsToJson(effects)}};
  m_out << json::serialize(line) << '\n';
}

std::vector<TraceDifference> ReplayTrace(std::istream& trace, std::size_t max_differences) {
  std::vector<TraceDifference> differences;
  std::string text;
  if (!std::getline(trace, text)) throw Error(ResultCode::kInvalidTrace, "the trace is empty");
  std::int64_t number = 1;
  try {
    NodeReducer reducer(FromJson<NodeSettings>(ParseJson(text, ResultCode::kInvalidTrace)));
    while (std::getline(trace, text) && differences.size() < max_differences) {
      ++number;
      const json::value line = ParseJson(text, ResultCode::kInvalidTrace);
      const auto now = FromJson<Instant>(line.at("now"));
      const auto event = VariantFromJson<Event>(line.at("event"));
      const std::string recorded = json::serialize(line.at("effects"));
      const std::string replayed = json::serialize(EffectsToJson(reducer.Reduce(event, now)));
      if (recorded != replayed) {
        differences.push_back({number, json::serialize(line.at("event")), recorded, replayed});
      }
    }
  } catch (const std::exception& error) {
    throw Error(ResultCode::kInvalidTrace, "line " + std::to_string(number) + ": " + error.what());
  }
  return differences;
}

}  // namespace fescueramp
