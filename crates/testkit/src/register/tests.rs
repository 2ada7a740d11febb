use super::*;
use std::io::Read;

#[test]
fn lower_token_is_rejected_and_shared_token_is_reported() {
    let register = Register::start();
    let send = |line: &str| {
        let mut stream = TcpStream::connect(register.address).expect("connect to the register");
        stream.write_all(line.as_bytes()).expect("send the line");
        stream
            .shutdown(std::net::Shutdown::Write)
            .expect("close the sending direction");
        let mut response = String::new();
        stream
            .read_to_string(&mut response)
            .expect("read the response");
        response
    };
    let responses = [
        "APPEND 5 1 a\n",
        "APPEND 4 1 b\n",
        "APPEND 6 1 b\n",
        "APPEND 7 1",
        "APPEND 6 2 b\n",
    ]
    .map(send);
    assert_eq!(responses, ["OK\n", "LOW 5\n", "OK\n", "", "OK\n"]);
    assert_eq!((register.violation(), register.log().len()), (None, 4));
    assert_eq!(
        send("APPEND 6 1 c\n"),
        "OK\n",
        "the register compares tokens only"
    );
    assert!(
        register.violation().is_some(),
        "the check also compares nodes"
    );
}
