//! A model of a single model engine, in virtual time.
//!
//! The model holds what decides how an engine behaves under load, and nothing
//! else: iteration-level batching, memory in blocks, a prefix cache with
//! eviction, step times that grow with the batch and its context, preemption by
//! recompute, priorities, cold start, load reports with a lag and cache events
//! with gaps. It generates no text. The stand-in engine drives it by the real
//! clock, and the policy benchmark by a virtual one.
//!
//! # Iterations
//!
//! The engine works in steps. Where a waiting generation fits into memory, the
//! step is a prefill: it computes whole prompts (they are not split into
//! chunks), so every decode stalls until it is done. Otherwise the step decodes
//! one token of each running generation. Both follow the default scheduler of
//! vLLM (SOSP 2023) before chunked prefill.
//!
//! # Memory
//!
//! A generation takes a block whenever its context crosses a block boundary.
//! When no block is free and none can be evicted from the prefix cache, the
//! running generation with the lowest priority, and among these the one that
//! came last, loses its blocks. It goes to the head of the queue, and its prompt
//! and all that it has emitted are computed again.
//!
//! # Cold start
//!
//! A cold engine is slower, has less memory and bears fewer generations. It
//! warms with the tokens that it generates. Where more generations run than it
//! bears, each step takes several times as long.
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
