// Package strictjson decodes JSON documents that people write, and reports all
// errors of a document at once.
//
// encoding/json ignores unknown fields, keeps the last of duplicate fields,
// matches names case-insensitively and reports only the first wrong type. A
// setting with a misspelled name then silently takes its default. This package
// rejects all of these, and reports for each error the file, the line, the path
// in the document, what was found and what is allowed.
//
// The package owns no state. A document that is oversized, not UTF-8 or not
// JSON yields a single error, because its structure is unknown.
package strictjson
