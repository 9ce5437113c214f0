// A hostile plug-in: each request leaves 200 kB in the script's state, in texts that are bound to function pointers.
fn on_request(r) {
    if !("n" in this) {
        this.n = 0;
        this.texts = [];
        this.lists = [];
        this.all = [];
    }
    let text = "x";
    text.pad(4000, 'y');
    let i = 0;
    while i < 50 {
        this.texts.push(Fn("keep").curry(text + this.n));
        this.n += 1;
        i += 1;
    }
    if this.texts.len() >= 150 {
        let kept = Fn("keep").curry(this.texts);
        this.texts = [];
        this.lists.push(kept);
    }
    if this.lists.len() >= 20 {
        let kept = Fn("keep").curry(this.lists);
        this.lists = [];
        this.all.push(kept);
    }
}

fn keep(x) {}
