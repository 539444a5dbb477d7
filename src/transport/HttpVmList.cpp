#include "transport/HttpVmList.h"

#include "state/Errc.h"

#include <utility>

namespace figturn {

namespace {

constexpr unsigned StatusOk = 200;

} // namespace

HttpVmList::HttpVmList(HttpVmListOptions Options)
    : m_Options(std::move(Options)) {}

void HttpVmList::fetchVmList(Handler OnResult) {
  m_Fetcher.fetch({.m_Url = m_Options.m_BaseUrl + "/v1/vms",
                   .m_Timeout = m_Options.m_Timeout},
                  [OnResult = std::move(OnResult)](const FetchResult &Fetched) {
                    if (Fetched.m_Error || Fetched.m_Status != StatusOk)
                      OnResult({.m_Error = Errc::PlatformUnavailable});
                    else
                      OnResult(decodeVmList(Fetched.m_Body));
                  });
}

} // namespace figturn
