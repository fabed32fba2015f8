#pragma once

#include <string>
#include <vector>

namespace persimmonfield {

// Bytes that a server sends as an answer, and the status that a client may take from them.
struct AnswerHead {
    std::string name;
    std::string bytes;
    int status = 0; // 0 if the bytes are no answer.
};

// Answers whose first line or framing is not that of a final answer of HTTP/1.x, and some that are.
inline std::vector<AnswerHead> answerHeads()
{
    std::vector<AnswerHead> heads;
    const std::string rest = "\r\nContent-Length: 4\r\n\r\nbody";
    // What follows the first answer must not be taken for the answer to the request.
    const std::string next = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother";
    for (const char* status : { "000", "001", "099", "101", "600", "700", "999", "20", "2", "2000", "0200",
             "+20", "-20", "+200", "-200", "2x0", "abc", "2 0", "0x2", "" })
        heads.push_back(
            { "status " + std::string(status), "HTTP/1.1 " + std::string(status) + " OK" + rest + next, 0 });
    heads.push_back({ "no status", "HTTP/1.1" + rest + next, 0 });
    for (const char* status : { "200", "204", "299", "304", "404", "500", "599" }) {
        const bool hasBody = std::string(status) != "204" && std::string(status) != "304";
        heads.push_back({ "status " + std::string(status),
            "HTTP/1.1 " + std::string(status) + " OK" + (hasBody ? rest : "\r\n\r\n"), std::stoi(status) });
    }
    heads.push_back({ "interim 100", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Made" + rest, 201 });
    for (const char* status : { "000", "099", "600" })
        heads.push_back({ "interim 100 and status " + std::string(status),
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 " + std::string(status) + " OK" + rest + next, 0 });
    heads.push_back({ "interim 199", "HTTP/1.1 199 Wait\r\n\r\nHTTP/1.1 201 Made" + rest, 201 });
    for (const char* length : { "+4", "-4", "4x", "0x4", "4.0", "4 4", "", "99999999999999999999" })
        heads.push_back({ "length " + std::string(length),
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::string(length) + "\r\n\r\nbody" + next, 0 });
    heads.push_back({ "length twice, the same",
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nbody" + next, 0 });
    heads.push_back({ "length twice, another",
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody" + next, 0 });
    heads.push_back({ "length as a list", "HTTP/1.1 200 OK\r\nContent-Length: 4, 4\r\n\r\nbody" + next, 0 });
    for (const char* coding :
        { "gzip", "gzip, chunked", "identity", "chunked, chunked", "xchunked", "chunked, gzip" })
        heads.push_back({ "coding " + std::string(coding),
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + std::string(coding)
                + "\r\nConnection: close\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
            0 });
    heads.push_back({ "coding twice",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: "
        "chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        0 });
    heads.push_back({ "coding and length",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        0 });
    heads.push_back({ "coding chunked",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", 200 });
    for (const char* version :
        { "HTTP/2.0", "HTTP/1.2", "HTTP/0.9", "HTTP/1", "HTTP/11", "http/1.1", "HTTPS/1.1", "ICY" })
        heads.push_back(
            { "version " + std::string(version), std::string(version) + " 200 OK" + rest + next, 0 });
    heads.push_back({ "version HTTP/1.0", "HTTP/1.0 200 OK" + rest, 200 });
    return heads;
}

// The text with control bytes and bytes beyond ASCII in hexadecimal.
inline std::string printable(const std::string& text)
{
    std::string result;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte >= 0x20 && byte < 0x7f) {
            result += c;
            continue;
        }
        constexpr const char* digits = "0123456789abcdef";
        result += std::string("\\x") + digits[byte >> 4U] + digits[byte & 0xfU];
    }
    return result;
}

// Names of fields that hold a blank, a control byte or another byte that no name may hold.
inline std::vector<std::string> invalidFieldNames()
{
    std::vector<std::string> names { "", "Content-Length ", "Content-Length\t", " Content-Length",
        "\tContent-Length", "Content Length", "Content\tLength", "X Note", " ", "\t", "Transfer-Encoding ",
        " Transfer-Encoding", "X\rNote", "X\nNote", "Content-Length\r", "\nContent-Length", "X\xc2\xa0Note",
        "X\xff", "X(Note)", "X\"Note\"", "X/Note", "X@Note", "X[Note]", "X{Note}", "X;Note", "X,Note",
        "X=Note", "X?Note", "X<Note>", "X\\Note" };
    for (char byte = 0; byte < 0x20; ++byte)
        names.push_back(std::string("X") + byte + "Note");
    names.push_back("X\x7fNote");
    return names;
}

// Heads in which the name of a field holds what no name may hold, and some in which all names are valid.
inline std::vector<AnswerHead> answerFieldNames()
{
    std::vector<AnswerHead> heads;
    const std::string start = "HTTP/1.1 200 OK\r\n";
    const std::string length = "Content-Length: 4\r\n";
    const std::string next = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother";
    for (const std::string& name : invalidFieldNames()) {
        const std::string field = name + ": 4\r\n";
        const std::string shown = " field " + printable(name);
        heads.push_back({ "first" + shown, start + field + length + "\r\nbody" + next, 0 });
        heads.push_back({ "middle" + shown, start + "Id: 1\r\n" + field + length + "\r\nbody" + next, 0 });
        heads.push_back({ "last" + shown, start + length + field + "\r\nbody" + next, 0 });
        heads.push_back({ "last without length" + shown, start + "Id: 1\r\n" + field + "\r\nbody", 0 });
        heads.push_back({ "HTTP/1.0" + shown, "HTTP/1.0 200 OK\r\nId: 1\r\n" + field + "\r\nbody", 0 });
        heads.push_back({ "interim" + shown,
            "HTTP/1.1 100 Continue\r\nId: 1\r\n" + field + "\r\n" + start + length + "\r\nbody", 0 });
        heads.push_back({ "trailer" + shown,
            start + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nSum: 1\r\n" + field + "\r\n", 0 });
    }
    for (const char* value :
        { "a\nContent-Length: 4", "a\rContent-Length: 4", "a\r\r\nContent-Length: 4", "a\x01" })
        heads.push_back({ "value " + printable(value), start + "X: " + value + "\r\n\r\nbody", 0 });
    heads.push_back({ "line without colon", start + length + "Note\r\n\r\nbody" + next, 0 });
    for (const char* name : { "X", "x-note", "X_1.2", "!#$%&'*+-.^_`|~09azAZ", "Content-Length-Of" }) {
        const std::string field = std::string(name) + ": 4\r\n";
        heads.push_back({ "valid " + std::string(name), start + field + length + "\r\nbody", 200 });
        heads.push_back({ "valid trailer " + std::string(name),
            start + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + field + "\r\n", 200 });
    }
    heads.push_back({ "empty value", start + "X:\r\n" + length + "\r\nbody", 200 });
    heads.push_back({ "value with blanks", start + "X: \t a \tb  \r\n" + length + "\r\nbody", 200 });
    heads.push_back({ "value with a colon", start + "X: Y : 4\r\n" + length + "\r\nbody", 200 });
    return heads;
}

}
