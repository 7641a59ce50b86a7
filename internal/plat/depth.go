package plat

// maxDepth is the depth of nested arrays and objects up to which a response is decoded.
// The JSON decoder rejects a whole response with one value of more than 10,000 levels.
const maxDepth = 256

// limitDepth returns a JSON text with each array or object below maxDepth replaced by null,
// so that one odd object does not hide the others of its list. It returns other texts as
// they are.
func limitDepth(b []byte) []byte {
	var out []byte
	depth, kept := 0, 0
	inString, escaped := false, false
	for n, c := range b {
		switch {
		case escaped:
			escaped = false
		case inString:
			escaped, inString = c == '\\', c != '"'
		case c == '"':
			inString = true
		case c == '[' || c == '{':
			if depth++; depth == maxDepth+1 {
				out = append(append(out, b[kept:n]...), "null"...)
			}
		case c == ']' || c == '}':
			if depth--; depth == maxDepth {
				kept = n + 1
			}
		}
	}
	if out == nil || depth != 0 {
		return b
	}
	return append(out, b[kept:]...)
}
