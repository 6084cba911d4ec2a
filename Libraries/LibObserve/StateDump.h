/// \file
/// The state of a process as one JSON text, made of the sections of its parts.
#ifndef FERRY_LIBOBSERVE_STATEDUMP_H
#define FERRY_LIBOBSERVE_STATEDUMP_H

#include <Poco/JSON/Object.h>
#include <functional>
#include <map>
#include <string>

namespace ferry::observe {

/// Collects sections. It has no lock of its own: add() and render() are called
/// on the control thread, and a section over the state of other threads locks
/// for itself. Tokens and keys must not be put in.
class StateDump {
public:
  using Section = std::function<Poco::JSON::Object::Ptr()>;

  /// Adds a section, in place of an earlier one of the same name.
  void add(std::string Name, Section Make);

  /// \returns all sections as one indented JSON object, by name. A section
  /// that throws shows {"error": ...} and keeps no other from being shown.
  std::string render() const;

private:
  std::map<std::string, Section> Sections;
};

} // namespace ferry::observe

#endif
