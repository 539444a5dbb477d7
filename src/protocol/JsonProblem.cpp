#include "protocol/JsonProblem.h"

#include <fmt/format.h>

namespace figturn {

namespace {

std::string formatOrigin(const JsonOrigin &Origin) {
  if (Origin.m_File.empty())
    return {};
  if (Origin.m_Line == 0)
    return fmt::format("{}: ", Origin.m_File);
  return fmt::format("{}:{}:{}: ", Origin.m_File, Origin.m_Line,
                     Origin.m_Column);
}

} // namespace

std::string JsonProblem::describe() const {
  std::string Text = formatOrigin(m_Origin);
  if (!m_Path.empty())
    Text += m_Path + ": ";
  if (!m_Value.empty())
    Text += fmt::format("found {}; ", m_Value);
  return Text + "expected " + m_Expected;
}

std::string describeProblems(const JsonProblems &Problems) {
  std::string Text;
  for (const JsonProblem &Problem : Problems)
    Text += Problem.describe() + "\n";
  return Text;
}

} // namespace figturn
