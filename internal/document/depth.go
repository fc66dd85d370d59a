package document

// maxDepth bounds the nesting of objects and arrays; the schemas need 4 levels.
// The parser recurses, and one megabyte of opening brackets, which is a value
// that the key-value service accepts, overflows the stack and ends the process.
const maxDepth = 32

// tooDeep returns the offset of the first bracket that is nested deeper than
// maxDepth, or -1. Brackets in strings and comments don't count.
func tooDeep(text []byte) int {
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

// skipString returns the offset of the closing quote, or the end of the text.
func skipString(text []byte, i int) int {
	for i++; i < len(text) && text[i] != '"'; i++ {
		if text[i] == '\\' {
			i++
		}
	}
	return i
}

// skipComment returns the offset of the last byte of a comment, or i when none
// starts there.
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
