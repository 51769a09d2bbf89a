//! Handlers of a fake engine for orders, and for attempts by id.

use std::sync::Arc;

use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::engine::{Engine, State};
use crate::http::{Reply, Req, empty, error, json, read_body};

/// The body of a posted order.
#[derive(Debug, Deserialize)]
struct OrderBody {
    /// Fencing number of the issuer.
    fence: u64,
    #[serde(flatten)]
    order: Order,
}

#[derive(Debug, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
enum Order {
    /// Load a model, an adapter or a version.
    Load { name: String },
    /// Unload a model, an adapter or a version.
    Unload { name: String },
    /// Change role, such as from `decode` to `prefill`.
    SetRole { role: String },
}

#[derive(Serialize)]
struct OrderResponse<'a> {
    fence: u64,
    models: &'a [String],
    role: Option<&'a str>,
}

#[derive(Serialize, Deserialize)]
struct CacheExport {
    prompt_id: u64,
}

/// Applies or refuses an order.
pub(crate) async fn handle_order(engine: &Arc<Engine>, req: Req) -> Reply {
    let body = match read_body(req.into_body()).await {
        Ok(body) => body,
        Err(reply) => return reply,
    };
    let Ok(body) = serde_json::from_slice::<OrderBody>(&body) else {
        return error(StatusCode::BAD_REQUEST, "the order is not valid JSON");
    };
    if !check_fence(
        &mut engine.lock(),
        body.fence,
        engine.cfg.capabilities.fenced,
    ) {
        return error(StatusCode::CONFLICT, "the fencing number is old");
    }
    if matches!(body.order, Order::Load { .. }) {
        sleep(engine.cfg.model_load).await;
    }
    let mut state = engine.lock();
    apply(&mut state, body.order);
    let response = OrderResponse {
        fence: body.fence,
        models: &state.models,
        role: state.role.as_deref(),
    };
    json(StatusCode::OK, &response)
}

/// Checks the fencing number of an order; an engine without fencing accepts every order.
fn check_fence(state: &mut State, fence: u64, fenced: bool) -> bool {
    if fenced && fence < state.fence {
        state.stats.orders_refused += 1;
        return false;
    }
    state.fence = state.fence.max(fence);
    true
}

fn apply(state: &mut State, order: Order) {
    state.stats.orders += 1;
    match order {
        Order::Load { name } => {
            if !state.models.contains(&name) {
                state.models.push(name);
            }
        }
        Order::Unload { name } => state.models.retain(|model| *model != name),
        Order::SetRole { role } => state.role = Some(role),
    }
}

/// Cancels an attempt, or exports or imports its cache.
pub(crate) async fn handle_attempt(
    engine: &Arc<Engine>,
    method: &Method,
    path: &str,
    req: Req,
) -> Reply {
    let rest = path.trim_start_matches("/v1/attempts/");
    let capabilities = engine.cfg.capabilities;
    match (method, rest.strip_suffix("/kv")) {
        (&Method::DELETE, None) if capabilities.cancel => cancel(engine, rest),
        (&Method::GET, Some(id)) if capabilities.kv_transfer => export(engine, id),
        (&Method::PUT, Some(id)) if capabilities.kv_transfer => import(engine, id, req).await,
        _ => error(StatusCode::NOT_FOUND, "no such path"),
    }
}

fn cancel(engine: &Engine, id: &str) -> Reply {
    if engine.lock().attempts.cancel(id) {
        empty(StatusCode::NO_CONTENT)
    } else {
        error(StatusCode::NOT_FOUND, "no such attempt runs")
    }
}

fn export(engine: &Engine, id: &str) -> Reply {
    match engine.lock().attempts.prompt_id(id) {
        Some(prompt_id) => json(StatusCode::OK, &CacheExport { prompt_id }),
        None => error(StatusCode::NOT_FOUND, "no such attempt is known"),
    }
}

async fn import(engine: &Engine, id: &str, req: Req) -> Reply {
    let body = match read_body(req.into_body()).await {
        Ok(body) => body,
        Err(reply) => return reply,
    };
    let Ok(export) = serde_json::from_slice::<CacheExport>(&body) else {
        return error(StatusCode::BAD_REQUEST, "the cache is not valid JSON");
    };
    engine.lock().attempts.record(id, export.prompt_id);
    empty(StatusCode::NO_CONTENT)
}
