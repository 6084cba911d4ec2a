/// \file
/// Parses the parts of a chat completion request that a router needs.
#ifndef FERRY_LIBTRAFFIC_CHATREQUEST_H
#define FERRY_LIBTRAFFIC_CHATREQUEST_H

#include "LibCore/Ids.h"
#include "LibTraffic/HttpExchange.h"
#include <string>

namespace ferry::traffic {

/// Whether the caller wants server-sent events or one JSON answer.
enum class AnswerForm : uint8_t { Whole, Events };

/// One chat completion request.
struct ChatRequest {
  ModelId Model;
  /// Roles and texts of all messages in order. Conversations with a common
  /// prefix have a common prefix here, so that cached blocks match.
  std::string Prompt;
  AnswerForm Form = AnswerForm::Whole;
  uint64_t MaxOutputTokens = 0;
};

/// Parses the JSON \p Body. \returns BadJson if it is malformed or lacks a
/// member, TooLarge for a prompt of more than \p MaxPromptBytes.
AnswerResult<ChatRequest> tryParseChatRequest(const std::string &Body,
                                              uint64_t MaxPromptBytes);

} // namespace ferry::traffic

#endif
