#include "transport/HttpFetcher.h"

#include "state/Errc.h"

#include <QNetworkAccessManager>
#include <QNetworkProxy>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QTimer>

namespace figturn {

namespace {

QNetworkRequest makeRequest(const FetchRequest &Request) {
  QNetworkRequest NetworkRequest(QUrl(QString::fromStdString(Request.m_Url)));
  NetworkRequest.setAttribute(QNetworkRequest::RedirectPolicyAttribute,
                              QNetworkRequest::ManualRedirectPolicy);
  NetworkRequest.setAttribute(QNetworkRequest::Http2AllowedAttribute, false);
  if (!Request.m_Body.empty())
    NetworkRequest.setHeader(QNetworkRequest::ContentTypeHeader,
                             "application/json");
  for (const auto &[Name, Value] : Request.m_Headers)
    NetworkRequest.setRawHeader(QByteArray::fromStdString(Name),
                                QByteArray::fromStdString(Value));
  return NetworkRequest;
}

// Qt reports a status of 400 or more as an error even if the complete reply was
// received.
bool isStatusError(QNetworkReply::NetworkError Error) {
  const bool IsContentError = Error >= QNetworkReply::ContentAccessDenied &&
                              Error <= QNetworkReply::UnknownContentError;
  const bool IsServerError = Error >= QNetworkReply::InternalServerError &&
                             Error <= QNetworkReply::UnknownServerError;
  return IsContentError || IsServerError;
}

std::error_code fetchError(const QNetworkReply &Reply, unsigned Status,
                           unsigned SendCount, bool TimedOut) {
  const QNetworkReply::NetworkError Error = Reply.error();
  const bool IsComplete =
      Status != 0 && (Error == QNetworkReply::NoError || isStatusError(Error));
  if (IsComplete && !TimedOut)
    return {};
  if (SendCount == 0)
    return Errc::ConnectFailed;
  if (TimedOut)
    return Errc::DeadlineExceeded;
  return Status != 0 ? Errc::TruncatedReply : Errc::ConnectionClosed;
}

} // namespace

class HttpFetcher::Impl {
public:
  Impl() { m_Manager.setProxy(QNetworkProxy::NoProxy); }

  QNetworkAccessManager m_Manager;
  // Declared after the manager, so that it is destroyed first and disconnects
  // its signal handlers.
  QObject m_Context;
};

HttpFetcher::HttpFetcher() : m_Impl(std::make_unique<Impl>()) {}
HttpFetcher::~HttpFetcher() = default;

void HttpFetcher::fetch(const FetchRequest &Request, Handler OnResult) {
  struct Progress {
    unsigned m_SendCount = 0;
    bool m_TimedOut = false;
  };
  QNetworkReply *Reply = m_Impl->m_Manager.sendCustomRequest(
      makeRequest(Request), QByteArray::fromStdString(Request.m_Method),
      QByteArray::fromStdString(Request.m_Body));
  auto State = std::make_shared<Progress>();
  QObject::connect(Reply, &QNetworkReply::requestSent, &m_Impl->m_Context,
                   [State] { ++State->m_SendCount; });
  QObject::connect(
      Reply, &QNetworkReply::finished, &m_Impl->m_Context,
      [Reply, State, OnResult = std::move(OnResult)] {
        Reply->deleteLater();
        FetchResult Result;
        Result.m_Status =
            Reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toUInt();
        if (Reply->isOpen())
          Result.m_Body = Reply->readAll().toStdString();
        Result.m_ETag = Reply->rawHeader("ETag").toStdString();
        Result.m_SendCount = State->m_SendCount;
        Result.m_Error = fetchError(*Reply, Result.m_Status, State->m_SendCount,
                                    State->m_TimedOut);
        OnResult(std::move(Result));
      });
  QTimer::singleShot(Request.m_Timeout, Reply, [Reply, State] {
    State->m_TimedOut = !Reply->isFinished();
    Reply->abort();
  });
}

} // namespace figturn
