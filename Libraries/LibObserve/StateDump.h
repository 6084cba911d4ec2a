/// \file
/// The state of a process as one JSON text with a section for each part.
#ifndef FERRY_LIBOBSERVE_STATEDUMP_H
#define FERRY_LIBOBSERVE_STATEDUMP_H

#include <Poco/JSON/Object.h>
#include <functional>
#include <map>
#include <string>

namespace ferry::observe {

/// Collects sections. It takes no lock: add() and render() must be called on
/// the control thread, and a section that shows the state of other threads must
/// lock it. Sections must not contain tokens or keys.
class StateDump {
public:
  using Section = std::function<Poco::JSON::Object::Ptr()>;

  /// Adds a section, or replaces the section of the same name.
  void add(std::string Name, Section Make);

  /// \returns all sections as one indented JSON object, by name. A section
  /// that throws is rendered as {"error": ...}; the others are not affected.
  std::string render() const;

private:
  std::map<std::string, Section> Sections;
};

} // namespace ferry::observe

#endif
