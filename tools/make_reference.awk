# Prints a Markdown entry for each class, struct and enum at namespace level of the given headers, and for each
# free function: name, header, doc comment and public members. Relies on the layout that .clang-format enforces:
# braces of types on their own lines and members indented by four spaces.

function trim(s) { sub(/^[ \t]+/, "", s); sub(/[ \t]+$/, "", s); return s }

# Splits "declaration ///< comment" into the globals `declaration` and `comment`.
function split_comment(s,    at) {
    comment = ""
    at = match(s, /[ \t]*\/\/\/?<?[ ]/)
    if (at > 0) {
        comment = trim(substr(s, at + RLENGTH))
        s = substr(s, 1, at - 1)
    }
    declaration = trim(s)
}

function print_head(kind, what) {
    print ""
    print "## " what
    print kind " in `" FILENAME "`"
    if (doc != "") { print ""; print doc }
    doc = ""
}

function print_member(what, text) {
    gsub(/[ \t]+/, " ", what)
    if (what ~ /\(/) { # A function: the body and the member initialisers are left out.
        if (match(what, /\)( const)?( noexcept)?( override)?( : | ?\{)/)) {
            body = substr(what, RSTART, RLENGTH)
            sub(/( : | ?\{)$/, "", body)
            what = substr(what, 1, RSTART - 1) body
        }
        sub(/ = 0;$/, "", what)
    }
    sub(/[;,]$/, "", what)
    if (!members) { print ""; members = 1 }
    print "- `" what "`" (text == "" ? "" : ": " text)
}

# True when the member is left out: special member functions, friends and nested helpers say nothing new.
function is_noise(what) {
    return what ~ /= (delete|default)/ || what ~ /^friend / || what ~ /^~/ || what ~ /^virtual ~/ || what ~ /^using / ||
           what ~ /^(class|struct) [a-z_0-9]+;$/ || what ~ /\(([a-z_]+) const&\) *;$/ && what ~ /operator=/ ||
           what ~ /&&\) noexcept/ || what ~ /operator(==|!=)/
}

FNR == 1 { type = ""; doc = ""; pending = ""; skip = 0; mdoc = ""; depth = 0; waiting = 0 }

# --- inside a type ---
type != "" {
    if ($0 ~ /^\};?/) {
        if (pending != "") { flush_member() }
        type = ""
        doc = ""
        next
    }
    if ($0 ~ /^\{/) { next }
    if ($0 ~ /^(public|protected|private):/) { hidden = ($0 !~ /^public/); mdoc = ""; pending = ""; skip = 0; next }
    if (hidden) { next }
    if (skip > 0) { # Body of a nested type or of a function of several lines.
        if ($0 ~ /^    \}/) { skip = 0 }
        next
    }
    if ($0 ~ /^    \{/) {
        # The declaration before this line has a body.
        if (pending != "") { flush_member() }
        skip = 1
        next
    }
    line = trim($0)
    if (line == "") { mdoc = ""; next }
    if (line ~ /^\/\/\/ / || line ~ /^\/\/ /) {
        sub(/^\/\/\/? /, "", line)
        if (kind != "enum" && pending == "") { mdoc = (mdoc == "" ? line : mdoc " " line) }
        next
    }
    if (line ~ /^\/\//) { next }
    if (line ~ /^template/) { next }
    split_comment(line)
    if (comment != "") { tail = (tail == "" ? comment : tail " " comment) }
    pending = (pending == "" ? declaration : pending " " declaration)
    if (kind == "enum" || declaration ~ /[;]$/ || declaration ~ /\}$/) { flush_member() }
    next
}

function flush_member(    text) {
    text = mdoc
    if (tail != "") { text = (text == "" ? tail : text " " tail) }
    if (!is_noise(pending)) { print_member(pending, text) }
    pending = ""
    tail = ""
    mdoc = ""
}

# --- namespace level ---
/^\/\/\/ / {
    line = $0
    sub(/^\/\/\/ /, "", line)
    doc = (doc == "" ? line : doc " " line)
    next
}
/^\/\/\/$/ { doc = (doc == "" ? "" : doc "\n\n"); next }
/^(class|struct|enum class) [a-z_0-9]+;/ { doc = ""; next }
/^(class|struct|enum class) [a-z_0-9]+/ {
    kind = $1
    name = ($1 == "enum" ? $3 : $2)
    sub(/[:;].*/, "", name)
    if (name ~ /</) { # A template specialisation gets no entry of its own.
        type = name
        hidden = 1
        if ($0 ~ /\};?$/) { type = "" }
        doc = ""
        next
    }
    bases = ""
    if ($1 != "enum" && match($0, / : public /)) {
        bases = substr($0, RSTART + RLENGTH)
        gsub(/public /, "", bases)
        bases = ", derived from `" trim(bases) "`,"
    }
    print_head(kind bases, name)
    type = name
    hidden = (kind == "class")
    pending = ""; tail = ""; mdoc = ""; members = 0; skip = 0
    if ($0 ~ /\};$/) { type = "" }
    next
}
/^(template|namespace|using|#|\{|\}|$)/ { if ($0 !~ /^template/) { doc = "" } ; next }
# A documented free function or constant.
/^[a-z]/ && doc != "" {
    split_comment($0)
    what = declaration
    while (what !~ /[;{]$/ && what !~ /\)$/ && (getline more) > 0) { what = what " " trim(more) }
    print_head(what ~ /\(/ ? "function" : "constant", free_name(what))
    members = 0
    sub(/ *\{$/, "", what)
    sub(/;$/, "", what)
    print ""
    print "    " what
    next
}
/^ / { next }

function free_name(what) {
    sub(/ *=.*$/, "", what)
    sub(/\(.*$/, "", what)
    sub(/;$/, "", what)
    sub(/^.*[ &*]/, "", what)
    return what
}
