import * as chai from "chai";
import * as bodies from "../src/index.js";

const { HeadProblem } = bodies;
const FIELDS = "Content-Length: 4\r\n\r\n";
/** Control characters but tab, LF and CR. */
const CONTROLS = [...Array(32).keys(), 0x7f].filter((code) => ![0x09, 0x0a, 0x0d].includes(code))
    .map((code) => String.fromCharCode(code));
const FRAMED_STATUSES = [204, 102];

/** What is wrong with a head, the same whole, in single bytes and in two pieces. */
function findProblem(text: string): bodies.HeadProblem | undefined {
    const bytes = Buffer.from(text, "latin1");
    const middle = Math.floor(bytes.length / 2);
    const ways = [[bytes], [...bytes].map((byte) => Buffer.of(byte)), [
        bytes.subarray(0, middle),
        bytes.subarray(middle),
    ]];
    const found = ways.map((pieces) => {
        const checker = new bodies.HeadChecker();
        pieces.forEach((piece) => checker.push(piece));
        return checker.finalProblem;
    });
    chai.expect(new Set(found).size, JSON.stringify(text)).to.equal(1);
    return found[0];
}

const status = (line: string) => `${line}\r\n${FIELDS}`;
const fields = (lines: string, version = "1.1", code = 200) => `HTTP/${version} ${code} OK\r\n${lines}\r\n\r\n`;

const malformed: Partial<Record<bodies.HeadProblem, string[]>> = {
    [HeadProblem.StatusLine]: [
        ...["HTTP/2.0", "HTTP/1.9", "HTTP/0.9", "http/1.1", "RTSP/1.0", "ICE/1.0", "HTTP/1.10"].map((version) =>
            status(`${version} 200 OK`)
        ),
        ...["HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200\tOK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "garbage"]
            .map(status),
        ...CONTROLS.map((control) => status(`HTTP/1.1 200 O${control}K`)),
        `HTTP/1.1 102 P\x01\r\n\r\n${status("HTTP/1.1 200 OK")}`,
    ],
    [HeadProblem.Status]: ["000", "099", "600", "999"].map((code) => status(`HTTP/1.1 ${code} OK`)),
    [HeadProblem.ProtocolSwitch]: [status("HTTP/1.1 101 OK")],
    [HeadProblem.FieldName]: [
        ...[...CONTROLS, "\t", " ", "\x80", "\xff"].map((byte) => fields(`x${byte}y: 1`)),
        ...["x : 1", "x\t: 1", " x: 1", "x: 1\r\n 2", "x: 1\r\n\t2", "xy", ": 1"].map((line) => fields(line)),
    ],
    [HeadProblem.FieldValue]: [...CONTROLS, "\r"].map((byte) => fields(`x: 1${byte}2`)),
    [HeadProblem.Nested]: [fields("x: HTTP/1.1 500 Failed"), status("HTTP/1.1 200 HTTP/1.1 500 Failed")],
    [HeadProblem.TransferCoding]: [
        ...["chun", "gzip", "identity", "chunked, gzip", "chunked, chunked", ""].map((coding) =>
            fields(`Transfer-Encoding: ${coding}`)
        ),
        fields("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked"),
        fields("Transfer-Encoding: chunked", "1.0"),
        ...FRAMED_STATUSES.map((code) => fields("Transfer-Encoding: chunked", "1.1", code)),
    ],
    [HeadProblem.Length]: [
        ...["4, 4", "+4", "-4", "4 4", "", "0x4", "4\xa0"].map((length) => fields(`Content-Length: ${length}`)),
        ...["4", "2"].map((length) => fields(`Content-Length: 4\r\nContent-Length: ${length}`)),
        fields("Content-Length: 4\r\nTransfer-Encoding: chunked"),
        ...FRAMED_STATUSES.map((code) => fields("Content-Length: 4", "1.1", code)),
    ],
    [HeadProblem.Unfinished]: ["", "HTTP/1.1 200 OK\r\nx: y\r\n", "HTTP/1.1 102 P\r\n\r\n"],
};

const sound = [
    status("HTTP/1.0 200 OK"),
    ...["HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.1 200  two blanks", "HTTP/1.1 299 \x80\xff\ttext"].map(status),
    `HTTP/1.1 102 P\r\nx: y\r\n\r\nHTTP/1.1 103 E\r\n\r\n${status("HTTP/1.1 200 OK")}`,
    ...["!#$%&'*+-.^_`|~9aZ: 1", "x:", "x:y", 'x: \x80\xff\t"', "Transfer-Encoding: \tChunked ", "content-length:04"]
        .map((line) => fields(line)),
    fields("Content-Length: 0", "1.1", 204),
    fields("Content-Length: 4", "1.1", 304),
];

// Guards against heads that a parser takes and RFC 9112 does not have, and against sound ones that are refused.
describe("Heads of answers", () => {
    for (const [problem, texts] of Object.entries(malformed)) {
        it(`are malformed: ${problem}`, () => {
            texts.forEach((text) => chai.expect(findProblem(text), JSON.stringify(text)).to.equal(problem));
        });
    }

    it("are sound with all that RFC 9112 allows, and bodies are passed over", () => {
        sound.forEach((text) =>
            chai.expect(findProblem(`${text}a b\x01\r\n\r\n`), JSON.stringify(text)).to.equal(undefined)
        );
    });
});
