package document

// maxDepth bounds the nesting of objects and arrays; the schemas need 4 levels.
// The parser is recursive: 1 MiB of opening brackets, which the key-value service
// accepts as a value, overflows the stack and ends the process.
const maxDepth = 32

// depthViolation returns the offset of the first bracket that is nested deeper than
// maxDepth, or -1. It ignores brackets in strings and comments.
func depthViolation(text []byte) int {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			i = skipString(text, i)
		case '/':
			i = skipComment(text, i)
		case '{', '[':
			if depth++; depth > maxDepth {
				return i
			}
		case '}', ']':
			depth--
		}
	}
	return -1
}

// skipString returns the offset of the closing quote of the string that starts at i,
// or the end of the text.
func skipString(text []byte, i int) int {
	for i++; i < len(text) && text[i] != '"'; i++ {
		if text[i] == '\\' {
			i++
		}
	}
	return i
}

// skipComment returns the offset of the last byte of the comment that starts at i,
// or i if there is none.
func skipComment(text []byte, i int) int {
	if i+1 == len(text) {
		return i
	}
	switch text[i+1] {
	case '/':
		for i < len(text) && text[i] != '\n' {
			i++
		}
	case '*':
		for i += 3; i < len(text) && (text[i-1] != '*' || text[i] != '/'); i++ {
		}
	}
	return i
}
