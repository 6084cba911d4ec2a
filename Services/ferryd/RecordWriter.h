/// \file
/// A thread that writes the newest version of a record to its file.
#ifndef FERRY_FERRYD_RECORDWRITER_H
#define FERRY_FERRYD_RECORDWRITER_H

#include "LibCore/DurableFile.h"
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace ferry::daemon {

/// Keeps a slow disk from delaying the control thread. Versions that are
/// replaced before they are written are skipped; a failed write is repeated.
class RecordWriter {
public:
  /// Called on the writing thread when a write fails after one that did not.
  using FailureCallback = std::function<void(const FileError &)>;

  RecordWriter(std::filesystem::path Path, FailureCallback OnFailure);
  /// Tries to write the newest version once more.
  ~RecordWriter();
  RecordWriter(const RecordWriter &) = delete;
  RecordWriter &operator=(const RecordWriter &) = delete;

  /// \param Record the bytes of the file, see sealRecord().
  void write(std::string Record);

private:
  void runThread();

  const std::filesystem::path Path;
  FailureCallback OnFailure;
  std::mutex Mutex;
  std::condition_variable Changed;
  /// Not written yet.
  std::optional<std::string> Pending;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace ferry::daemon

#endif
