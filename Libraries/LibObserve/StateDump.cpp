#include "LibObserve/StateDump.h"
#include <Poco/Exception.h>
#include <sstream>

namespace ferry::observe {

static constexpr unsigned IndentColumns = 2;

void StateDump::add(std::string Name, Section Make) {
  Sections.insert_or_assign(std::move(Name), std::move(Make));
}

static Poco::JSON::Object::Ptr failedSection(const std::string &Detail) {
  Poco::JSON::Object::Ptr Failed = new Poco::JSON::Object;
  Failed->set("error", Detail);
  return Failed;
}

static Poco::JSON::Object::Ptr makeSection(const StateDump::Section &Make) {
  try {
    return Make();
  } catch (const Poco::Exception &Error) {
    return failedSection(Error.displayText());
  } catch (const std::exception &Error) {
    return failedSection(Error.what());
  }
}

std::string StateDump::render() const {
  Poco::JSON::Object Root(Poco::JSON_PRESERVE_KEY_ORDER);
  for (const auto &[Name, Make] : Sections)
    Root.set(Name, makeSection(Make));
  std::ostringstream Text;
  Root.stringify(Text, IndentColumns);
  return Text.str();
}

} // namespace ferry::observe
