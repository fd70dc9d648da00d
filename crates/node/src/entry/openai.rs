//! Request and response bodies of the OpenAI-compatible API.

use serde::{Deserialize, Serialize};

/// The body of a request to `/v1/completions`.
#[derive(Debug, Deserialize)]
pub(super) struct Completion {
    /// The name of the route.
    pub(super) model: String,
    /// The prompt to complete.
    pub(super) prompt: Prompt,
    /// The maximum number of tokens to generate.
    #[serde(default = "default_max_tokens")]
    pub(super) max_tokens: u32,
    /// Whether to stream the response as server-sent events.
    #[serde(default)]
    pub(super) stream: bool,
}

/// A prompt: a string, or a list that must contain exactly one.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
pub(super) enum Prompt {
    /// A single string.
    Text(String),
    /// A list of strings.
    List(Vec<String>),
}

impl Prompt {
    /// Returns the prompt, or `None` if the list does not contain exactly one string.
    pub(super) fn into_text(self) -> Option<String> {
        match self {
            Prompt::Text(text) => Some(text),
            Prompt::List(texts) => <[String; 1]>::try_from(texts).ok().map(|[text]| text),
        }
    }
}

/// The body of a request to `/v1/chat/completions`.
#[derive(Debug, Deserialize)]
pub(super) struct Chat {
    /// The name of the route.
    pub(super) model: String,
    /// The messages of the conversation.
    pub(super) messages: Vec<Message>,
    /// The maximum number of tokens to generate.
    #[serde(default = "default_max_tokens", alias = "max_completion_tokens")]
    pub(super) max_tokens: u32,
    /// Whether to stream the response as server-sent events.
    #[serde(default)]
    pub(super) stream: bool,
}

/// A message of a chat.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct Message {
    /// The role of the author, such as `user`.
    pub(super) role: String,
    /// The text of the message.
    pub(super) content: String,
}

const fn default_max_tokens() -> u32 {
    4_096
}

/// Joins the messages of a chat into one prompt.
pub(super) fn prompt(messages: &[Message]) -> String {
    let mut text = String::new();
    for message in messages {
        text.push_str(&message.role);
        text.push_str(": ");
        text.push_str(&message.content);
        text.push('\n');
    }
    text.push_str("assistant: ");
    text
}

/// The API that a caller uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Api {
    /// `/v1/completions`.
    Completion,
    /// `/v1/chat/completions`.
    Chat,
}

/// The body of a response, or of one chunk of a stream.
#[derive(Debug, Serialize)]
pub(super) struct Answer<'a> {
    id: String,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Debug, Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(flatten)]
    content: Content<'a>,
    finish_reason: Option<&'a str>,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum Content<'a> {
    Text(&'a str),
    Message(AssistantMessage<'a>),
    Delta(Delta<'a>),
}

#[derive(Debug, Serialize)]
struct AssistantMessage<'a> {
    role: &'static str,
    content: &'a str,
}

#[derive(Debug, Default, Serialize)]
struct Delta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

/// The number of tokens that were generated.
#[derive(Debug, Serialize)]
struct Usage {
    completion_tokens: u64,
}

/// The fields that all chunks of a response have in common.
#[derive(Clone, Debug)]
pub(super) struct Metadata {
    /// The API that the caller uses.
    pub(super) api: Api,
    /// The id of the response.
    pub(super) id: String,
    /// The name of the route.
    pub(super) model: String,
    /// The creation time of the response, in seconds since the Unix epoch.
    pub(super) created: u64,
}

impl Metadata {
    /// Returns the chunk for one token.
    pub(super) fn token<'a>(&'a self, index: u64, text: &'a str) -> Answer<'a> {
        let content = match self.api {
            Api::Completion => Content::Text(text),
            Api::Chat => Content::Delta(Delta {
                role: (index == 0).then_some("assistant"),
                content: Some(text),
            }),
        };
        self.chunk(content, None)
    }

    /// Returns the last chunk, with the finish reason.
    pub(super) fn end<'a>(&'a self, reason: &'a str) -> Answer<'a> {
        let content = match self.api {
            Api::Completion => Content::Text(""),
            Api::Chat => Content::Delta(Delta::default()),
        };
        self.chunk(content, Some(reason))
    }

    /// Returns the complete response.
    pub(super) fn complete<'a>(&'a self, text: &'a str, count: u64, reason: &'a str) -> Answer<'a> {
        let (object, content) = match self.api {
            Api::Completion => ("text_completion", Content::Text(text)),
            Api::Chat => (
                "chat.completion",
                Content::Message(AssistantMessage {
                    role: "assistant",
                    content: text,
                }),
            ),
        };
        Answer {
            usage: Some(Usage {
                completion_tokens: count,
            }),
            ..self.answer(object, content, Some(reason))
        }
    }

    fn chunk<'a>(&'a self, content: Content<'a>, reason: Option<&'a str>) -> Answer<'a> {
        let object = match self.api {
            Api::Completion => "text_completion",
            Api::Chat => "chat.completion.chunk",
        };
        self.answer(object, content, reason)
    }

    fn answer<'a>(
        &'a self,
        object: &'static str,
        content: Content<'a>,
        finish_reason: Option<&'a str>,
    ) -> Answer<'a> {
        Answer {
            id: self.id.clone(),
            object,
            created: self.created,
            model: &self.model,
            choices: [Choice {
                index: 0,
                content,
                finish_reason,
            }],
            usage: None,
        }
    }
}
