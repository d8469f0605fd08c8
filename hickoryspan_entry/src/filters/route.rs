//! Filter that determines the route of a request.

use hickoryspan_core::types::RequestId;
use http::Method;

use super::{CONTINUE, CallerExchange, FilterFuture, RequestFilter};
use crate::errors::{CallerError, CallerErrorKind};

/// Route of the API for callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallerRoute {
    Search,
    Order,
    Lookup(RequestId),
    Addresses,
}

/// Method and path of each route. `{id}` matches the rest of the path.
pub(crate) const ROUTES: [(&str, &str); 4] = [
    ("POST", "/v1/search"),
    ("POST", "/v1/orders"),
    ("GET", "/v1/orders/{id}"),
    ("GET", "/v1/addresses"),
];

const LOOKUP_PREFIX: &str = "/v1/orders/";

/// Determines the route and rejects unknown paths and methods.
pub(crate) struct RouteFilter;

impl RequestFilter for RouteFilter {
    fn apply<'a>(&'a self, exchange: &'a mut CallerExchange) -> FilterFuture<'a> {
        Box::pin(async move {
            exchange.route = Some(find_route(&exchange.parts.method, exchange.parts.uri.path())?);
            CONTINUE
        })
    }
}

fn find_route(method: &Method, path: &str) -> Result<CallerRoute, CallerError> {
    let (allowed, route) = match path {
        "/v1/search" => ("POST", CallerRoute::Search),
        "/v1/orders" => ("POST", CallerRoute::Order),
        "/v1/addresses" => ("GET", CallerRoute::Addresses),
        _ => match path.strip_prefix(LOOKUP_PREFIX) {
            Some(text) => ("GET", CallerRoute::Lookup(parse_order_id(text)?)),
            None => {
                let detail = "the path is not part of the API";
                return Err(CallerError::new(CallerErrorKind::UnknownRoute, detail));
            }
        },
    };
    if method.as_str() != allowed {
        let detail = format!("the path accepts {allowed}");
        let mut error = CallerError::new(CallerErrorKind::MethodNotAllowed, detail);
        error.allow = Some(allowed);
        return Err(error);
    }
    Ok(route)
}

fn parse_order_id(text: &str) -> Result<RequestId, CallerError> {
    let to_error = |_| CallerError::new(CallerErrorKind::UnknownRoute, "the order id is not valid");
    text.parse().map_err(to_error)
}
