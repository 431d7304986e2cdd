package deadline

import _ "hemlockquay/internal/fixedseed"
