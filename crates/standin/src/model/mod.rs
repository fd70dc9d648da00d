//! A simulation model of a single model engine, in virtual time.
//!
//! The model covers only what determines the behaviour of an engine under load:
//! iteration-level batching, memory in blocks, a prefix cache with eviction, step
//! times that grow with the batch and its context, preemption with recompute,
//! priorities, cold start, load reports with a lag and cache events with gaps. It
//! generates no text. The stand-in engine drives it with the real clock, and the
//! policy benchmark with a virtual one.
//!
//! # Iterations
//!
//! The engine works in steps. If a waiting generation fits into memory, the step
//! is a prefill: it computes whole prompts, not chunks of them, so every decode
//! stalls until the step is done. Otherwise the step decodes one token of each
//! running generation. Both follow the default scheduler of vLLM (SOSP 2023)
//! before chunked prefill.
//!
//! # Memory
//!
//! A generation allocates a block whenever its context crosses a block boundary.
//! If no block is free and none can be evicted from the prefix cache, the running
//! generation with the lowest priority, and among these the last to arrive, is
//! preempted. It loses its blocks and returns to its place in the queue by priority
//! and arrival, and its prompt and emitted tokens are computed again.
//!
//! # Cold start
//!
//! A cold engine is slower, and has less memory and a smaller capacity. It warms up
//! with the tokens that it generates. While more generations run than its capacity,
//! each step takes several times as long.
//!
//! # Examples
//!
//! ```
//! use cactusroad_core::{Time, id::Attempt};
//! use cactusroad_standin::model::{Config, Engine, Job, Output};
//!
//! let mut engine = Engine::new(Config::default(), Time::ZERO);
//! let job = Job { generation: Attempt(1), prompt_tokens: 64, output_tokens: 2, ..Job::default() };
//! engine.submit(Time::ZERO, job)?;
//! let mut outputs = Vec::new();
//! while let Some(at) = engine.next_at() {
//!     engine.advance(at, &mut outputs);
//! }
//! assert!(matches!(outputs[2].output, Output::End { count: 2, .. }));
//! # Ok::<(), cactusroad_standin::model::Error>(())
//! ```

mod config;
mod engine;
mod memory;
mod report;

pub use config::{Cold, Config};
pub use engine::{Emission, Engine, Error, Job, Output, Reason};
pub use report::{CacheEvent, Load};
