#ifndef AZURESPINDLE_CALLERS_COMPLETION_API_H
#define AZURESPINDLE_CALLERS_COMPLETION_API_H

#include "callers/completion_request.h"
#include "http/problem.h"
#include "serving/pool_manager.h"

#include <string>

namespace azurespindle::callers {

/// Returns the problem document, with status 400, of a request that fails validation.
http::Problem toProblem(const json::Faults &faults);

/// Returns a problem document with outcome `not-run`: no upstream executed the request.
http::Problem notRunProblem(int status, const std::string &title, const std::string &detail);

/// Sends \a problem as the response.
void respond(const http::ExchangePtr &exchange, const http::Problem &problem);

/// Handler of the completions API: starts and resumes generations, and lists the models.
class CompletionApi
{
public:
    explicit CompletionApi(serving::PoolManager &poolManager);

    /// Starts a generation, or resumes one if the request has a `Last-Event-ID` header.
    void handleCompletion(CompletionKind kind, const http::ServerRequest &request,
                          const http::ExchangePtr &exchange);
    void listModels(const http::ExchangePtr &exchange) const;

private:
    void startGeneration(CompletionKind kind, const http::ServerRequest &request,
                         const http::ExchangePtr &exchange);
    void resumeGeneration(CompletionKind kind, const http::ServerRequest &request,
                          const http::ExchangePtr &exchange);

    serving::PoolManager &poolManager;
};

} // namespace azurespindle::callers

#endif
