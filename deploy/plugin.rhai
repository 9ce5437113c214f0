// An example of the plug-in hook: says every hundredth answer what was refused of the last hundred.
// `this` is a map that is kept between calls; nothing that is returned is looked at.

fn on_answer(r) {
    if !("seen" in this) {
        this.seen = 0;
        this.refused = 0;
    }
    this.seen += 1;
    if r.answer == "refused" {
        this.refused += 1;
    }
    if this.seen == 100 {
        print("refused of the last hundred: " + this.refused);
        this.seen = 0;
        this.refused = 0;
    }
}
