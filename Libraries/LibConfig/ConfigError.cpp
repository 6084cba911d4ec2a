#include "LibConfig/ConfigError.h"

namespace ferry::config {

std::string ConfigError::message() const {
  std::string Text = File;
  Text += ":" + std::to_string(Line);
  Text += ":" + std::to_string(Column);
  Text += ": " + std::string(enumName(Kind));
  if (!Detail.empty())
    Text += ": " + Detail;
  return Text;
}

} // namespace ferry::config
