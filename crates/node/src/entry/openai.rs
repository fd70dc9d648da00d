//! The bodies of the OpenAI-compatible interface.

use serde::{Deserialize, Serialize};

/// A request for a completion of a prompt.
#[derive(Debug, Deserialize)]
pub(super) struct Completion {
    /// The route.
    pub(super) model: String,
    /// The text to go on from.
    pub(super) prompt: Prompt,
    /// The most tokens to generate.
    #[serde(default = "default_max_tokens")]
    pub(super) max_tokens: u32,
    /// Whether the answer comes as a stream of events.
    #[serde(default)]
    pub(super) stream: bool,
}

/// A prompt: one text, or a list that must hold exactly one.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
pub(super) enum Prompt {
    /// One text.
    Text(String),
    /// A list of texts.
    List(Vec<String>),
}

impl Prompt {
    /// Returns the one text, or `None` where there are more or none.
    pub(super) fn into_text(self) -> Option<String> {
        match self {
            Prompt::Text(text) => Some(text),
            Prompt::List(texts) => <[String; 1]>::try_from(texts).ok().map(|[text]| text),
        }
    }
}

/// A request for the next message of a chat.
#[derive(Debug, Deserialize)]
pub(super) struct Chat {
    /// The route.
    pub(super) model: String,
    /// The messages so far.
    pub(super) messages: Vec<Message>,
    /// The most tokens to generate.
    #[serde(default = "default_max_tokens", alias = "max_completion_tokens")]
    pub(super) max_tokens: u32,
    /// Whether the answer comes as a stream of events.
    #[serde(default)]
    pub(super) stream: bool,
}

/// A message of a chat.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct Message {
    /// Who speaks.
    pub(super) role: String,
    /// What was said.
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

/// Which of the two interfaces a caller uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Form {
    /// Completions of a prompt.
    Completion,
    /// Messages of a chat.
    Chat,
}

/// An answer or a part of one.
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
    Message(Said<'a>),
    Delta(Delta<'a>),
}

#[derive(Debug, Serialize)]
struct Said<'a> {
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

/// The count of what was generated.
#[derive(Debug, Serialize)]
struct Usage {
    completion_tokens: u64,
}

/// What the parts of one answer have in common.
#[derive(Clone, Debug)]
pub(super) struct Head {
    /// The interface.
    pub(super) form: Form,
    /// The identity of the answer.
    pub(super) id: String,
    /// The route.
    pub(super) model: String,
    /// When the request arrived, in seconds since the Unix epoch.
    pub(super) created: u64,
}

impl Head {
    /// Returns one token as a part of the answer.
    pub(super) fn token<'a>(&'a self, index: u64, text: &'a str) -> Answer<'a> {
        let content = match self.form {
            Form::Completion => Content::Text(text),
            Form::Chat => Content::Delta(Delta {
                role: (index == 0).then_some("assistant"),
                content: Some(text),
            }),
        };
        self.part(content, None)
    }

    /// Returns the part that ends the answer.
    pub(super) fn end<'a>(&'a self, reason: &'a str) -> Answer<'a> {
        let content = match self.form {
            Form::Completion => Content::Text(""),
            Form::Chat => Content::Delta(Delta::default()),
        };
        self.part(content, Some(reason))
    }

    /// Returns the whole answer.
    pub(super) fn whole<'a>(&'a self, text: &'a str, count: u64, reason: &'a str) -> Answer<'a> {
        let (object, content) = match self.form {
            Form::Completion => ("text_completion", Content::Text(text)),
            Form::Chat => (
                "chat.completion",
                Content::Message(Said {
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

    fn part<'a>(&'a self, content: Content<'a>, reason: Option<&'a str>) -> Answer<'a> {
        let object = match self.form {
            Form::Completion => "text_completion",
            Form::Chat => "chat.completion.chunk",
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
